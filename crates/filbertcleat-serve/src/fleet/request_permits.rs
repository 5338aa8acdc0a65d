//! Paces the requests of one entry to a backend server that named a limit.

use filbertcleat_base::MonoTime;

use super::RequestLimit;

/// The permits of one entry for requests to a backend server that named a limit on those of all
/// entries.
///
/// Load pattern: many entries have requests for a server that takes only a few. No message could
/// count them all in time, so each entry gets one permit in an interval as long as the entries
/// together need for one request each. The intervals of the entries begin at random times, and a
/// permit lapses before the next begins if there are many entries: entries that were idle then
/// don't all use theirs at once.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestPermits {
    interval_ms: f64,
    open_ms: f64,
    /// The number of intervals since the first began, as of `at`. The fraction is the part of the
    /// current one that has passed; no permit exists before the first.
    elapsed: f64,
    at: MonoTime,
    /// The interval whose permit is used.
    used: Option<f64>,
}

impl RequestPermits {
    /// The part of the limit that entries use together. The rest covers permits of several entries
    /// that coincide.
    const USED_SHARE: f64 = 0.8;
    /// The permits that are open at the same time over all entries, on average.
    const OPEN_PERMITS: f64 = 2.5;
    /// The lowest rate over all entries. Without any answer they would not learn that the limit has
    /// changed.
    const PER_S_MIN: f64 = 0.05;

    /// Creates the permits of one of `entries` entries. The first interval begins after the part
    /// `phase` of an interval.
    pub fn new(now: MonoTime, limit: RequestLimit, entries: u32, phase: f64) -> Self {
        let (interval_ms, open_ms) = times_ms(limit, entries);
        Self { interval_ms, open_ms, elapsed: -phase, at: now, used: None }
    }

    /// Changes the limit or the number of entries. The current interval is stretched or shortened.
    pub fn set(&mut self, now: MonoTime, limit: RequestLimit, entries: u32) {
        self.elapsed = self.elapsed(now);
        self.at = now;
        (self.interval_ms, self.open_ms) = times_ms(limit, entries);
    }

    /// Uses a permit, if necessary that of the next interval.
    pub fn on_sent(&mut self, now: MonoTime) {
        let current = self.elapsed(now).floor().max(0.0);
        self.used = Some(self.used.map_or(current, |used| current.max(used + 1.0)));
    }

    /// Returns the time until a permit is open, in milliseconds; 0 if one is.
    pub fn wait_ms(&self, now: MonoTime) -> f64 {
        let elapsed = self.elapsed(now);
        let current = elapsed.floor();
        let is_used = current < 0.0 || self.used.is_some_and(|used| used >= current);
        if !is_used && (elapsed - current) * self.interval_ms <= self.open_ms {
            return 0.0;
        }
        let next = self.used.map_or(0.0, |used| used + 1.0).max(current + 1.0);
        (next - elapsed) * self.interval_ms
    }

    fn elapsed(&self, now: MonoTime) -> f64 {
        self.elapsed + now.since(self.at).as_secs_f64() * 1_000.0 / self.interval_ms
    }
}

/// Returns the length of an interval and the part of it for which its permit is open.
fn times_ms(limit: RequestLimit, entries: u32) -> (f64, f64) {
    let named_per_s = limit.thousandths() as f64 / 1_000.0;
    let per_s = (named_per_s * RequestPermits::USED_SHARE).max(RequestPermits::PER_S_MIN);
    let interval_ms = f64::from(entries.max(1)) / per_s * 1_000.0;
    (interval_ms, RequestPermits::OPEN_PERMITS / per_s * 1_000.0)
}
