//! The names of all metrics.

/// A metric; the page on operation describes each.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Metric {
    /// Requests that ended, by route, kind and outcome.
    Requests,
    /// Requests that were refused, by reason.
    Refusals,
    /// Sends to backend servers, by ending.
    Sends,
    /// Repeats that the budget allowed or not, by outcome.
    Repeats,
    /// The time that a request waited for a backend server.
    QueueWait,
    /// The time from a request's arrival to its first event.
    FirstEvent,
    /// The time to the first event that was expected when a request was sent.
    FirstEventExpected,
    /// The time to the first event after a request was sent.
    FirstEventSent,
    /// The longest pause within a stream.
    Gap,
    /// The version of the configuration in force.
    ConfigurationVersion,
    /// The time since that version came into force.
    ConfigurationAge,
    /// The time since the catalogue last answered, by topic.
    CatalogueAge,
    /// Backend servers, by what they can be used for.
    Servers,
    /// Requests at backend servers.
    Open,
    /// Requests in the queue.
    Waiting,
    /// Orders to the engine, by kind and ending.
    Orders,
    /// Adapters on the engine, by stage.
    Adapters,
    /// The time since the engine last answered.
    EngineAge,
    /// Requests in the engine's batch.
    EngineRunning,
    /// Requests in the engine's queue.
    EngineWaiting,
    /// Entries that the agent has heard lately.
    Entries,
    /// Log lines left out.
    LogLeftOut,
}

/// All metrics.
pub const METRICS: [Metric; 22] = [
    Metric::Requests,
    Metric::Refusals,
    Metric::Sends,
    Metric::Repeats,
    Metric::QueueWait,
    Metric::FirstEvent,
    Metric::FirstEventExpected,
    Metric::FirstEventSent,
    Metric::Gap,
    Metric::ConfigurationVersion,
    Metric::ConfigurationAge,
    Metric::CatalogueAge,
    Metric::Servers,
    Metric::Open,
    Metric::Waiting,
    Metric::Orders,
    Metric::Adapters,
    Metric::EngineAge,
    Metric::EngineRunning,
    Metric::EngineWaiting,
    Metric::Entries,
    Metric::LogLeftOut,
];

impl Metric {
    /// Returns the name, which ends in its unit where it has one.
    pub fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Refusals => "refusals",
            Self::Sends => "sends",
            Self::Repeats => "repeats",
            Self::QueueWait => "queue_wait_ms",
            Self::FirstEvent => "first_event_ms",
            Self::FirstEventExpected => "first_event_expected_ms",
            Self::FirstEventSent => "first_event_sent_ms",
            Self::Gap => "gap_ms",
            Self::ConfigurationVersion => "configuration_version",
            Self::ConfigurationAge => "configuration_age_ms",
            Self::CatalogueAge => "catalogue_age_ms",
            Self::Servers => "servers",
            Self::Open => "open",
            Self::Waiting => "waiting",
            Self::Orders => "orders",
            Self::Adapters => "adapters",
            Self::EngineAge => "engine_age_ms",
            Self::EngineRunning => "engine_running",
            Self::EngineWaiting => "engine_waiting",
            Self::Entries => "entries",
            Self::LogLeftOut => "log_left_out",
        }
    }
}
