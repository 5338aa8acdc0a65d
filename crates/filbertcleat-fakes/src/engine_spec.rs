//! What a fake engine can do.

use std::time::Duration;

/// What a fake engine can do.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpec {
    /// Adapter slots.
    pub adapter_slots: usize,
    /// Calls in one step.
    pub batch_limit: usize,
    /// The time of a step apart from its calls.
    pub step_overhead: Duration,
    /// The time that each call in a step adds.
    pub step_time_per_call: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fence: bool,
}

impl EngineSpec {
    /// Returns the time of a step with `calls` calls in it.
    pub fn step_time(&self, calls: usize) -> Duration {
        self.step_overhead + self.step_time_per_call * calls as u32
    }

    /// Returns an engine that is quick enough for tests.
    pub fn fast() -> Self {
        Self {
            adapter_slots: 4,
            batch_limit: 4,
            step_overhead: Duration::from_micros(800),
            step_time_per_call: Duration::from_micros(50),
            checks_fence: true,
        }
    }

    /// Returns an engine whose full step takes 40 ms.
    pub fn realistic() -> Self {
        Self {
            adapter_slots: 4,
            batch_limit: 4,
            step_overhead: Duration::from_millis(24),
            step_time_per_call: Duration::from_millis(4),
            checks_fence: true,
        }
    }
}
