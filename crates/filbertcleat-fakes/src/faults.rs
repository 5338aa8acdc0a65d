//! Switches for what can go wrong with a stand-in.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

/// Switches that are shared with a stand-in's server.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    state: Arc<Mutex<State>>,
}

/// The switches' positions.
#[derive(Debug, Default)]
struct State {
    down: bool,
    delay: Duration,
    lost_answers: u32,
    failing_loads: u32,
    hanging_loads: u32,
    broken_streams: u32,
}

impl Faults {
    /// Refuses all calls, or takes them again.
    pub fn set_unavailable(&self, down: bool) {
        self.state().down = down;
    }

    /// Returns whether all calls are refused.
    pub fn is_unavailable(&self) -> bool {
        self.state().down
    }

    /// Delays each answer.
    pub fn set_latency(&self, delay: Duration) {
        self.state().delay = delay;
    }

    /// Returns the delay of each answer.
    pub fn latency(&self) -> Duration {
        self.state().delay
    }

    /// Loses the answers to the next writes, after they have taken effect.
    pub fn lose_write_responses(&self, count: u32) {
        self.state().lost_answers = count;
    }

    /// Fails the next loads.
    pub fn fail_loads(&self, count: u32) {
        self.state().failing_loads = count;
    }

    /// Lets the next loads hang far beyond any time limit, and take effect in the end.
    pub fn hang_loads(&self, count: u32) {
        self.state().hanging_loads = count;
    }

    /// Breaks the next streams after a few pieces, while the call goes on.
    pub fn break_streams(&self, count: u32) {
        self.state().broken_streams = count;
    }

    pub(crate) fn take_lost_response(&self) -> bool {
        take(&mut self.state().lost_answers)
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

fn take(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}
