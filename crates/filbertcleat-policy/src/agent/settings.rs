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
    pub slots: usize,
    /// The most calls at a time.
    pub batch: usize,
    /// Key-account calls handed over beyond `batch`, for engines that honour priorities.
    pub overcommit: usize,
    /// The most requests that wait.
    pub queue_max: usize,
    /// Whether the engine refuses an order with an old fencing number.
    pub checks_fence: bool,
    /// How long a call lasts, until calls have been measured.
    pub call_ms: f64,
    /// How long a load lasts, until loads have been measured.
    pub load_ms: f64,
}

impl AgentSettings {
    /// Creates the settings for a backend server with the usual limits.
    pub fn new(node: NodeName, service: ServiceName, slots: usize, batch: usize) -> Self {
        Self {
            node,
            service,
            slots,
            batch,
            overcommit: if slots > 0 { batch.div_ceil(4) } else { 0 },
            queue_max: 4096,
            checks_fence: true,
            call_ms: 5000.0,
            load_ms: 500.0,
        }
    }

    /// Sets whether the engine refuses an order with an old fencing number.
    pub fn with_checks_fence(mut self, checks_fence: bool) -> Self {
        self.checks_fence = checks_fence;
        self
    }

    /// Sets the number of key-account calls handed over beyond the batch.
    pub fn with_overcommit(mut self, overcommit: usize) -> Self {
        self.overcommit = overcommit;
        self
    }
}
