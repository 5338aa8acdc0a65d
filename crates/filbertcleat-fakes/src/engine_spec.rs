//! Capacity and timing of a fake engine.

use std::time::Duration;

/// The capacity and timing of a fake engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpec {
    /// The number of adapters that can be loaded at the same time.
    pub adapter_slots: usize,
    /// The maximum number of calls in one step.
    pub batch_limit: usize,
    /// The fixed part of the duration of a step.
    pub step_overhead: Duration,
    /// The time that each call in the batch adds to a step.
    pub step_time_per_call: Duration,
    /// Whether the engine rejects orders with a stale fencing token.
    pub checks_fence: bool,
}

impl EngineSpec {
    /// Returns the duration of a step with a batch of `calls` calls.
    pub fn step_time(&self, calls: usize) -> Duration {
        self.step_overhead + self.step_time_per_call * calls as u32
    }

    /// Returns the specification of an engine whose steps take at most 1 ms, for tests.
    pub fn fast() -> Self {
        Self {
            adapter_slots: 4,
            batch_limit: 4,
            step_overhead: Duration::from_micros(800),
            step_time_per_call: Duration::from_micros(50),
            checks_fence: true,
        }
    }

    /// Returns the specification of an engine whose step with a full batch takes 40 ms.
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
