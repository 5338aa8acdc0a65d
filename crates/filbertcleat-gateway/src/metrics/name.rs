//! The names of all metrics.

/// A metric; the page on operation describes each.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Metric {
    /// Requests that ended, by route, kind and outcome.
    Requests,
    /// Requests that were refused, by reason.
    Refusals,
    /// Sends to backend servers, by ending.
    Attempts,
    /// Repeats that the budget allowed or not, by outcome.
    Retries,
    /// The time that a request waited for a backend server.
    QueueWait,
    /// The time from a request's arrival to its first event.
    TimeToFirstEvent,
    /// The time to the first event that was expected when a request was sent.
    ExpectedTimeToFirstEvent,
    /// The time to the first event after a request was sent.
    TimeFromAttemptToFirstEvent,
    /// The longest pause within a stream.
    LongestEventGap,
    /// The version of the configuration in force.
    ConfigurationVersion,
    /// The time since that version came into force.
    ConfigurationAge,
    /// The time since the catalogue last answered, by topic.
    CatalogueAge,
    /// Backend servers, by what they can be used for.
    Servers,
    /// Requests at backend servers.
    InFlight,
    /// Requests in the queue.
    Queued,
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
    DroppedLogLines,
}

/// All metrics.
pub const METRICS: [Metric; 22] = [
    Metric::Requests,
    Metric::Refusals,
    Metric::Attempts,
    Metric::Retries,
    Metric::QueueWait,
    Metric::TimeToFirstEvent,
    Metric::ExpectedTimeToFirstEvent,
    Metric::TimeFromAttemptToFirstEvent,
    Metric::LongestEventGap,
    Metric::ConfigurationVersion,
    Metric::ConfigurationAge,
    Metric::CatalogueAge,
    Metric::Servers,
    Metric::InFlight,
    Metric::Queued,
    Metric::Orders,
    Metric::Adapters,
    Metric::EngineAge,
    Metric::EngineRunning,
    Metric::EngineWaiting,
    Metric::Entries,
    Metric::DroppedLogLines,
];

impl Metric {
    /// Returns the name, which ends in its unit where it has one.
    pub fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Refusals => "refusals",
            Self::Attempts => "sends",
            Self::Retries => "repeats",
            Self::QueueWait => "queue_wait_ms",
            Self::TimeToFirstEvent => "first_event_ms",
            Self::ExpectedTimeToFirstEvent => "first_event_expected_ms",
            Self::TimeFromAttemptToFirstEvent => "first_event_sent_ms",
            Self::LongestEventGap => "gap_ms",
            Self::ConfigurationVersion => "configuration_version",
            Self::ConfigurationAge => "configuration_age_ms",
            Self::CatalogueAge => "catalogue_age_ms",
            Self::Servers => "servers",
            Self::InFlight => "open",
            Self::Queued => "waiting",
            Self::Orders => "orders",
            Self::Adapters => "adapters",
            Self::EngineAge => "engine_age_ms",
            Self::EngineRunning => "engine_running",
            Self::EngineWaiting => "engine_waiting",
            Self::Entries => "entries",
            Self::DroppedLogLines => "log_left_out",
        }
    }
}
