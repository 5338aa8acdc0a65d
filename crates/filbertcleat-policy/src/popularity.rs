//! Decaying counts of requests by adapter.

use std::collections::HashMap;

use filbertcleat_base::AdapterRef;
use filbertcleat_base::MonoTime;

/// Estimates how often each adapter is asked for.
#[derive(Clone, Debug)]
pub struct Popularity {
    counts: HashMap<AdapterRef, Decayed>,
    half_life_s: f64,
}

impl Popularity {
    /// The half-life of the estimates that decide.
    pub const HALF_LIFE_S: f64 = 300.0;
    /// The most adapters that are remembered before faint ones are forgotten.
    const REMEMBERED_MAX: usize = 16_384;
    /// A count below this is forgotten.
    const FAINT: f64 = 0.02;

    /// Creates an estimate whose counts halve every `half_life_s` seconds.
    pub fn new(half_life_s: f64) -> Self {
        Self { counts: HashMap::new(), half_life_s }
    }

    /// Counts one request.
    pub fn record(&mut self, now: MonoTime, adapter: &AdapterRef) {
        let half_life_s = self.half_life_s;
        if let Some(count) = self.counts.get_mut(adapter) {
            count.value = count.at(now, half_life_s) + 1.0;
            count.updated = now;
        } else {
            self.make_room(now);
            self.counts.insert(adapter.clone(), Decayed { value: 1.0, updated: now });
        }
    }

    /// Takes over another process's estimate in requests a second, which decays from now on.
    pub fn set_rate(&mut self, now: MonoTime, adapter: &AdapterRef, per_s: f64) {
        let value = per_s * self.half_life_s / std::f64::consts::LN_2;
        if !self.counts.contains_key(adapter) {
            self.make_room(now);
        }
        self.counts.insert(adapter.clone(), Decayed { value, updated: now });
    }

    /// Returns the requests a second for an adapter.
    pub fn rate_per_s(&self, now: MonoTime, adapter: &AdapterRef) -> f64 {
        let count = self.counts.get(adapter).map_or(0.0, |count| count.at(now, self.half_life_s));
        count * std::f64::consts::LN_2 / self.half_life_s
    }

    fn make_room(&mut self, now: MonoTime) {
        if self.counts.len() < Self::REMEMBERED_MAX {
            return;
        }

        let half_life_s = self.half_life_s;
        self.counts.retain(|_, count| count.at(now, half_life_s) > Self::FAINT);
        if self.counts.len() >= Self::REMEMBERED_MAX {
            // All are loud, which takes tens of thousands of requests within a half-life.
            self.counts.retain(|_, count| count.at(now, half_life_s) > 1.0);
        }
        if self.counts.len() >= Self::REMEMBERED_MAX {
            self.counts.clear();
        }
    }
}

/// A count as it was at one time.
#[derive(Clone, Copy, Debug)]
struct Decayed {
    value: f64,
    updated: MonoTime,
}

impl Decayed {
    fn at(self, now: MonoTime, half_life_s: f64) -> f64 {
        let age_s = now.since(self.updated).as_secs_f64();
        self.value * (-age_s / half_life_s).exp2()
    }
}
