//! The settings of an agent's decisions.

use filbertcleat_base::NodeName;
use filbertcleat_base::ServiceName;

/// What an agent knows of its backend server from the start.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// The agent's name.
    pub node: NodeName,
    /// The service that the backend server belongs to.
    pub service: ServiceName,
    /// Its adapter slots; zero for a plain service.
    pub slot_limit: usize,
    /// The most calls at a time.
    pub batch_limit: usize,
    /// Key-account calls handed over beyond `batch`, for engines that honour priorities.
    pub key_account_overcommit: usize,
    /// The most requests that wait.
    pub queue_max: usize,
    /// Whether the engine refuses an order with an old fencing number.
    pub checks_fence: bool,
    /// How long a call lasts, until calls have been measured.
    pub initial_call_ms: f64,
    /// How long a load lasts, until loads have been measured.
    pub initial_load_ms: f64,
}

impl AgentSettings {
    /// Creates the settings for a backend server with the usual limits.
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

    /// Sets whether the engine refuses an order with an old fencing number.
    pub fn with_checks_fence(mut self, checks_fence: bool) -> Self {
        self.checks_fence = checks_fence;
        self
    }

    /// Sets the number of key-account calls handed over beyond the batch.
    pub fn with_key_account_overcommit(mut self, overcommit: usize) -> Self {
        self.key_account_overcommit = overcommit;
        self
    }
}
