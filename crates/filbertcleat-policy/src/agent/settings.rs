//! Settings of an agent.

use filbertcleat_base::NodeName;
use filbertcleat_base::ServiceName;

/// The fixed properties of an agent and its backend server.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// The name of the agent.
    pub node: NodeName,
    /// The service that the backend server belongs to.
    pub service: ServiceName,
    /// The number of adapter slots; zero for a plain service.
    pub slot_limit: usize,
    /// The maximum number of concurrent calls.
    pub batch_limit: usize,
    /// The number of key-account calls that may be sent beyond `batch_limit`, for engines that
    /// schedule by priority.
    pub key_account_overcommit: usize,
    /// The maximum number of waiting attempts.
    pub queue_max: usize,
    /// Whether the engine rejects orders with an outdated fencing token.
    pub checks_fence: bool,
    /// The assumed duration of a call until calls have been measured.
    pub initial_call_ms: f64,
    /// The assumed duration of a load until loads have been measured.
    pub initial_load_ms: f64,
}

impl AgentSettings {
    /// Creates settings with default limits and durations.
    pub fn new(
        node: NodeName,
        service: ServiceName,
        slot_limit: usize,
        batch_limit: usize,
    ) -> Self {
        Self {
            node,
            service,
            slot_limit,
            batch_limit,
            key_account_overcommit: if slot_limit > 0 { batch_limit.div_ceil(4) } else { 0 },
            queue_max: 4096,
            checks_fence: true,
            initial_call_ms: 5000.0,
            initial_load_ms: 500.0,
        }
    }

    /// Sets whether the engine rejects orders with an outdated fencing token.
    pub fn with_checks_fence(mut self, checks_fence: bool) -> Self {
        self.checks_fence = checks_fence;
        self
    }

    /// Sets the number of key-account calls that may be sent beyond the batch limit.
    pub fn with_key_account_overcommit(mut self, overcommit: usize) -> Self {
        self.key_account_overcommit = overcommit;
        self
    }
}
