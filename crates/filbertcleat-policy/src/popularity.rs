//! Estimates of the request rate per adapter.

use std::collections::HashMap;

use filbertcleat_base::AdapterRef;
use filbertcleat_base::MonoTime;

/// Estimates the request rate of each adapter by exponentially decaying counts.
#[derive(Clone, Debug)]
pub struct Popularity {
    counts: HashMap<AdapterRef, DecayingCount>,
    half_life_s: f64,
}

impl Popularity {
    /// The half-life of the estimates at agents and entries.
    pub const HALF_LIFE_S: f64 = 300.0;
    /// The number of adapters from which negligible counts are removed.
    const TRACKED_ADAPTERS_MAX: usize = 16_384;
    /// A count that is removed when the table is full.
    const NEGLIGIBLE_COUNT: f64 = 0.02;

    /// Creates an empty estimate with a half-life of `half_life_s` seconds.
    pub fn new(half_life_s: f64) -> Self {
        Self { counts: HashMap::new(), half_life_s }
    }

    /// Counts one request for an adapter.
    pub fn record(&mut self, now: MonoTime, adapter: &AdapterRef) {
        let half_life_s = self.half_life_s;
        if let Some(count) = self.counts.get_mut(adapter) {
            count.value = count.value_at(now, half_life_s) + 1.0;
            count.updated_at = now;
        } else {
            self.make_room(now);
            self.counts.insert(adapter.clone(), DecayingCount { value: 1.0, updated_at: now });
        }
    }

    /// Replaces the estimate for an adapter by a rate per second that another process has measured;
    /// it decays from `now` on.
    pub fn set_rate(&mut self, now: MonoTime, adapter: &AdapterRef, per_s: f64) {
        let value = per_s * self.half_life_s / std::f64::consts::LN_2;
        if !self.counts.contains_key(adapter) {
            self.make_room(now);
        }
        self.counts.insert(adapter.clone(), DecayingCount { value, updated_at: now });
    }

    /// Returns the estimated request rate of an adapter per second.
    pub fn rate_per_s(&self, now: MonoTime, adapter: &AdapterRef) -> f64 {
        let count =
            self.counts.get(adapter).map_or(0.0, |count| count.value_at(now, self.half_life_s));
        count * std::f64::consts::LN_2 / self.half_life_s
    }

    /// Removes the smallest counts if the table is full.
    fn make_room(&mut self, now: MonoTime) {
        if self.counts.len() < Self::TRACKED_ADAPTERS_MAX {
            return;
        }

        let half_life_s = self.half_life_s;
        self.counts.retain(|_, count| count.value_at(now, half_life_s) > Self::NEGLIGIBLE_COUNT);
        if self.counts.len() >= Self::TRACKED_ADAPTERS_MAX {
            // No count is negligible, which takes tens of thousands of requests within a half-life.
            self.counts.retain(|_, count| count.value_at(now, half_life_s) > 1.0);
        }
        if self.counts.len() >= Self::TRACKED_ADAPTERS_MAX {
            self.counts.clear();
        }
    }
}

/// A count with the time of its last update.
#[derive(Clone, Copy, Debug)]
struct DecayingCount {
    value: f64,
    updated_at: MonoTime,
}

impl DecayingCount {
    /// Returns the decayed count at `now`.
    fn value_at(self, now: MonoTime, half_life_s: f64) -> f64 {
        let age_s = now.since(self.updated_at).as_secs_f64();
        self.value * (-age_s / half_life_s).exp2()
    }
}
