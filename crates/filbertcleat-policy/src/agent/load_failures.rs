//! Exponential backoff for adapters that fail to load.

use std::collections::HashMap;

use filbertcleat_base::AdapterRef;
use filbertcleat_base::MonoTime;

/// Counts consecutive load failures per adapter and decides when a load may be retried.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadFailures {
    by_adapter: HashMap<AdapterRef, FailureState>,
}

impl LoadFailures {
    /// The backoff after the first failure; it doubles with each further failure.
    const FIRST_BACKOFF_MS: u64 = 500;
    /// The number of consecutive failures after which the waiting requests are refused.
    const GIVE_UP_AFTER_FAILURES: u32 = 3;
    /// How long new requests are refused after the adapter was given up.
    pub const GIVE_UP_MS: u64 = 10_000;

    /// Counts a failure, and returns whether the adapter is given up for now.
    pub fn record(&mut self, now: MonoTime, adapter: &AdapterRef) -> bool {
        let failure = self.by_adapter.entry(adapter.clone()).or_default();
        failure.count += 1;
        if failure.count < Self::GIVE_UP_AFTER_FAILURES {
            failure.retry_at = now.plus_ms(Self::FIRST_BACKOFF_MS << (failure.count - 1));
            return false;
        }
        failure.retry_at = now.plus_ms(Self::GIVE_UP_MS);
        true
    }

    /// Forgets the failures of an adapter after a successful load.
    pub fn clear(&mut self, adapter: &AdapterRef) {
        self.by_adapter.remove(adapter);
    }

    /// Returns whether a load of the adapter has to wait.
    pub fn is_backing_off(&self, now: MonoTime, adapter: &AdapterRef) -> bool {
        self.by_adapter.get(adapter).is_some_and(|failure| failure.retry_at > now)
    }

    /// Returns whether new requests for the adapter are refused.
    pub fn is_given_up(&self, now: MonoTime, adapter: &AdapterRef) -> bool {
        self.by_adapter.get(adapter).is_some_and(|failure| {
            failure.count >= Self::GIVE_UP_AFTER_FAILURES && failure.retry_at > now
        })
    }
}

/// The consecutive load failures of one adapter.
#[derive(Clone, Copy, Debug, Default)]
struct FailureState {
    count: u32,
    retry_at: MonoTime,
}
