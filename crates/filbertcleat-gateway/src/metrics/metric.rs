//! The metrics and their names.

/// A metric. `docs/OPERATIONS.md` describes each.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Metric {
    /// Requests that ended, by route, retry policy and outcome.
    Requests,
    /// Requests that the entry refused, by reason.
    Refusals,
    /// Attempts at backend servers, by outcome.
    Attempts,
    /// Retries that the retry budget allowed or refused.
    Retries,
    /// Streams that ended properly, by how their end was marked.
    StreamEnds,
    /// Checks whether a backend server has outlived an unframed response, by outcome.
    EndChecks,
    /// Checks whether the listed start of a backend server is at the end of a connection, by outcome.
    StartChecks,
    /// Streams that callers took up, by how their software version was found.
    OriginLookups,
    /// Agents asked for the software version that began a stream, by their reply.
    OriginReplies,
    /// Questions to agents when a prompt may be sent, by outcome.
    PromptTurns,
    /// The time that a request waited for an engine.
    QueueWait,
    /// The time from the arrival of a request to its first event.
    TimeToFirstEvent,
    /// The time to the first event, as estimated when a request was placed.
    ExpectedTimeToFirstEvent,
    /// The time from the start of an attempt to its first event.
    TimeFromAttemptToFirstEvent,
    /// The longest gap within a stream.
    LongestEventGap,
    /// Events of streams whose ids don't follow one another, by order.
    IrregularEvents,
    /// The version of the current configuration.
    ConfigurationVersion,
    /// The time since the current configuration came into force.
    ConfigurationAge,
    /// The time since the catalogue last answered, by topic.
    CatalogueAge,
    /// Calls to the catalogue without a usable response, by topic.
    CatalogueFailures,
    /// Restores of the catalogue from a copy that the entry has seen.
    CatalogueRestores,
    /// Backend servers, by status.
    Servers,
    /// Starts of backend servers that announced their leaving, by the source of the announcement.
    LeavingAnnouncements,
    /// Pauses that backend servers asked for, by the source.
    Pauses,
    /// Facts that the entry has learned itself or was told, by kind and source.
    Facts,
    /// Changes of the limits that backend servers name, by the source.
    LimitChanges,
    /// Ends of backend servers that broke off requests before their first event.
    ServerEnds,
    /// Parts of prompts for which requests are turned away.
    Suspects,
    /// Attempts in flight at backend servers.
    InFlight,
    /// Requests in the queue of the entry.
    Queued,
    /// Bytes that the entry holds for callers and backend servers that have not read them.
    HeldBytes,
    /// Connections of callers.
    Connections,
    /// Connections of callers that the entry has closed or refused, by reason.
    ConnectionCloses,
    /// Connections for readiness checks and metrics that were closed for newer ones, by listener.
    SideCloses,
    /// Backend servers to which the pool keeps connections.
    PooledServers,
    /// Orders to the engine, by kind and outcome.
    Orders,
    /// Adapters on the engine, by stage.
    Adapters,
    /// The time since the engine last answered.
    EngineAge,
    /// Requests that the engine is running.
    EngineRunning,
    /// Requests in the queue of the engine.
    EngineWaiting,
    /// Entries that recently sent updates to the agent.
    Entries,
    /// Panics that were contained in their task.
    TaskPanics,
    /// Requests of workspaces with an allowance, by workspace and outcome.
    AllowanceRequests,
    /// The rate of a workspace's allowance.
    AllowanceRate,
    /// The burst of a workspace's allowance.
    AllowanceBurst,
    /// What a workspace has recently used at the entry.
    AllowanceUse,
    /// The tokens in a bucket that the agent holds, by the hash of the workspace's name and bucket.
    AllowanceLevel,
    /// Dropped log lines.
    DroppedLogLines,
}

/// All metrics.
pub const METRICS: [Metric; 48] = [
    Metric::Requests,
    Metric::Refusals,
    Metric::Attempts,
    Metric::Retries,
    Metric::StreamEnds,
    Metric::EndChecks,
    Metric::StartChecks,
    Metric::OriginLookups,
    Metric::OriginReplies,
    Metric::PromptTurns,
    Metric::QueueWait,
    Metric::TimeToFirstEvent,
    Metric::ExpectedTimeToFirstEvent,
    Metric::TimeFromAttemptToFirstEvent,
    Metric::LongestEventGap,
    Metric::IrregularEvents,
    Metric::ConfigurationVersion,
    Metric::ConfigurationAge,
    Metric::CatalogueAge,
    Metric::CatalogueFailures,
    Metric::CatalogueRestores,
    Metric::Servers,
    Metric::LeavingAnnouncements,
    Metric::Pauses,
    Metric::Facts,
    Metric::LimitChanges,
    Metric::ServerEnds,
    Metric::Suspects,
    Metric::InFlight,
    Metric::Queued,
    Metric::HeldBytes,
    Metric::Connections,
    Metric::ConnectionCloses,
    Metric::SideCloses,
    Metric::PooledServers,
    Metric::Orders,
    Metric::Adapters,
    Metric::EngineAge,
    Metric::EngineRunning,
    Metric::EngineWaiting,
    Metric::Entries,
    Metric::TaskPanics,
    Metric::AllowanceRequests,
    Metric::AllowanceRate,
    Metric::AllowanceBurst,
    Metric::AllowanceUse,
    Metric::AllowanceLevel,
    Metric::DroppedLogLines,
];

impl Metric {
    /// Returns the name under which the metric is served, with its unit as suffix.
    pub fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Refusals => "refusals",
            Self::Attempts => "sends",
            Self::Retries => "repeats",
            Self::StreamEnds => "stream_ends",
            Self::EndChecks => "end_checks",
            Self::StartChecks => "start_checks",
            Self::OriginLookups => "origin_lookups",
            Self::OriginReplies => "origin_replies",
            Self::PromptTurns => "prompt_turns",
            Self::QueueWait => "queue_wait_ms",
            Self::TimeToFirstEvent => "first_event_ms",
            Self::ExpectedTimeToFirstEvent => "first_event_expected_ms",
            Self::TimeFromAttemptToFirstEvent => "first_event_sent_ms",
            Self::LongestEventGap => "gap_ms",
            Self::IrregularEvents => "irregular_events",
            Self::ConfigurationVersion => "configuration_version",
            Self::ConfigurationAge => "configuration_age_ms",
            Self::CatalogueAge => "catalogue_age_ms",
            Self::CatalogueFailures => "catalogue_failures",
            Self::CatalogueRestores => "catalogue_restores",
            Self::Servers => "servers",
            Self::LeavingAnnouncements => "leaving",
            Self::Pauses => "pauses",
            Self::Facts => "facts",
            Self::LimitChanges => "limit_changes",
            Self::ServerEnds => "server_ends",
            Self::Suspects => "suspects",
            Self::InFlight => "open",
            Self::Queued => "waiting",
            Self::HeldBytes => "held_bytes",
            Self::Connections => "connections",
            Self::ConnectionCloses => "connection_closes",
            Self::SideCloses => "side_closes",
            Self::PooledServers => "pooled_servers",
            Self::Orders => "orders",
            Self::Adapters => "adapters",
            Self::EngineAge => "engine_age_ms",
            Self::EngineRunning => "engine_running",
            Self::EngineWaiting => "engine_waiting",
            Self::Entries => "entries",
            Self::TaskPanics => "task_panics",
            Self::AllowanceRequests => "allowance_requests",
            Self::AllowanceRate => "allowance_rate",
            Self::AllowanceBurst => "allowance_burst",
            Self::AllowanceUse => "allowance_use",
            Self::AllowanceLevel => "allowance_level",
            Self::DroppedLogLines => "log_left_out",
        }
    }
}
