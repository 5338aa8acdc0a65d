//! What a fake engine can do.

use std::time::Duration;

/// What a fake engine can do.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpec {
    /// Adapter slots.
    pub slots: usize,
    /// Calls in one step.
    pub batch: usize,
    /// The time of a step apart from its calls.
    pub step_base: Duration,
    /// The time that each call in a step adds.
    pub step_call: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fence: bool,
}

impl EngineSpec {
    /// Returns the time of a step with `calls` calls in it.
    pub fn step(&self, calls: usize) -> Duration {
        self.step_base + self.step_call * calls as u32
    }

    /// Returns an engine that is quick enough for tests.
    pub fn quick() -> Self {
        Self {
            slots: 4,
            batch: 4,
            step_base: Duration::from_micros(800),
            step_call: Duration::from_micros(50),
            checks_fence: true,
        }
    }

    /// Returns an engine whose full step takes 40 ms.
    pub fn usual() -> Self {
        Self {
            slots: 4,
            batch: 4,
            step_base: Duration::from_millis(24),
            step_call: Duration::from_millis(4),
            checks_fence: true,
        }
    }
}
