//! Back-off of loads that fail.

use std::collections::HashMap;

use filbertcleat_base::AdapterRef;
use filbertcleat_base::MonoTime;

/// Remembers which adapters failed to load, and until when they wait.
#[derive(Clone, Debug, Default)]
pub(super) struct Failures {
    by_adapter: HashMap<AdapterRef, Failure>,
}

impl Failures {
    /// The wait after the first failure, which doubles with each further one.
    const BACKOFF_MS: u64 = 500;
    /// Failures in a row after which waiting requests are refused.
    const FAILURES_MAX: u32 = 3;
    /// How long new requests are refused after that.
    pub const GIVE_UP_MS: u64 = 10_000;

    /// Counts a failure, and returns whether the adapter is given up for now.
    pub fn add(&mut self, now: MonoTime, adapter: &AdapterRef) -> bool {
        let failure = self.by_adapter.entry(adapter.clone()).or_default();
        failure.count += 1;
        if failure.count < Self::FAILURES_MAX {
            failure.until = now.plus_ms(Self::BACKOFF_MS << (failure.count - 1));
            return false;
        }
        failure.until = now.plus_ms(Self::GIVE_UP_MS);
        true
    }

    pub fn clear(&mut self, adapter: &AdapterRef) {
        self.by_adapter.remove(adapter);
    }

    /// Returns whether a load of the adapter has to wait.
    pub fn waits(&self, now: MonoTime, adapter: &AdapterRef) -> bool {
        self.by_adapter.get(adapter).is_some_and(|failure| failure.until > now)
    }

    /// Returns whether requests for the adapter are refused.
    pub fn given_up(&self, now: MonoTime, adapter: &AdapterRef) -> bool {
        self.by_adapter
            .get(adapter)
            .is_some_and(|failure| failure.count >= Self::FAILURES_MAX && failure.until > now)
    }
}

/// The failures of one adapter.
#[derive(Clone, Copy, Debug, Default)]
struct Failure {
    count: u32,
    until: MonoTime,
}
