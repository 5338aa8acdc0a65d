//! Fault injection for the test doubles.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

/// The faults that a test double injects; clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    state: Arc<Mutex<State>>,
}

/// The faults to inject.
#[derive(Debug, Default)]
struct State {
    is_unavailable: bool,
    latency: Duration,
    lost_responses: u32,
    failing_loads: u32,
    hanging_loads: u32,
    broken_streams: u32,
}

impl Faults {
    /// Sets whether the server is unavailable.
    ///
    /// The table service and the object store then reject all requests, an engine rejects only
    /// requests for its statistics.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.state().is_unavailable = unavailable;
    }

    /// Returns whether the server is unavailable.
    pub fn is_unavailable(&self) -> bool {
        self.state().is_unavailable
    }

    /// Sets the time by which the table service and the object store delay each request.
    pub fn set_latency(&self, latency: Duration) {
        self.state().latency = latency;
    }

    /// Returns the time by which the table service and the object store delay each request.
    pub fn latency(&self) -> Duration {
        self.state().latency
    }

    /// Loses the responses to the next `count` writes.
    ///
    /// The writes are applied, but the client gets an error.
    pub fn lose_write_responses(&self, count: u32) {
        self.state().lost_responses = count;
    }

    /// Makes the next `count` adapter loads fail.
    pub fn fail_loads(&self, count: u32) {
        self.state().failing_loads = count;
    }

    /// Makes the next `count` adapter loads complete only after the load timeout of the agent.
    pub fn hang_loads(&self, count: u32) {
        self.state().hanging_loads = count;
    }

    /// Cuts off the next `count` streams after a few chunks, while their calls continue.
    pub fn break_streams(&self, count: u32) {
        self.state().broken_streams = count;
    }

    pub(crate) fn take_lost_response(&self) -> bool {
        take(&mut self.state().lost_responses)
    }

    pub(crate) fn take_failing_load(&self) -> bool {
        take(&mut self.state().failing_loads)
    }

    pub(crate) fn take_hanging_load(&self) -> bool {
        take(&mut self.state().hanging_loads)
    }

    pub(crate) fn take_broken_stream(&self) -> bool {
        take(&mut self.state().broken_streams)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Consumes one pending fault, and returns whether there was one.
fn take(count: &mut u32) -> bool {
    let is_pending = *count > 0;
    *count = count.saturating_sub(1);
    is_pending
}
