//! Learns how a server without an engine compares with the others of its service.

use std::collections::VecDeque;

use filbertcleat_base::MonoTime;

/// The factor by which one server's responses take longer than those of its service, as this entry
/// sees them.
///
/// The lasting part holds the server's speed and the way to it. The recent part holds stalls and the
/// requests of other entries, which nobody reports to this one. Open requests that take long count
/// before they end.
#[derive(Clone, Debug)]
pub(crate) struct PlainPace {
    lasting: f64,
    recent: f64,
    recent_at: MonoTime,
    responses: u32,
    /// When the open requests were sent, the oldest first, and the recent factor at that time.
    open: VecDeque<(MonoTime, f64)>,
}

impl PlainPace {
    /// The part of the distance, in logarithms, by which one response moves the lasting factor. The
    /// spread of the response times then moves it by a tenth of that spread.
    const LASTING_STEP: f64 = 0.02;
    /// The part of the distance by which one response moves the recent factor.
    const RECENT_STEP: f64 = 0.3;
    /// The time in which the recent factor decays to 37%. Stalls and clumps of requests last for
    /// tenths of a second, and without responses nothing else shows that they are over.
    const RECENT_MS: f64 = 400.0;
    /// The largest distance of one response, so that a request that is long by itself says little.
    const DISTANCE_MAX: f64 = 1.0;
    /// The largest lasting factor in either direction, in logarithms: a factor of four. Slower
    /// servers are failing.
    const LASTING_MAX: f64 = 1.4;
    /// The responses after which the factor holds the way to the server.
    const SETTLED_RESPONSES: u32 = 12;
    /// The most open requests that are remembered; more of them say nothing new.
    const OPEN_MAX: usize = 64;

    /// Creates the pace of a server that is as fast as the others.
    pub fn new(now: MonoTime) -> Self {
        let open = VecDeque::new();
        Self { lasting: 0.0, recent: 0.0, recent_at: now, responses: 0, open }
    }

    /// Records that a request is sent, whose route has this median once it is known.
    pub fn on_sent(&mut self, now: MonoTime, median_ms: Option<f64>) {
        if self.open.len() < Self::OPEN_MAX {
            let recent = median_ms.map_or(0.0, |median_ms| self.recent(now, median_ms));
            self.open.push_back((now, recent));
        }
    }

    /// Records that a request that was sent at `sent_at` was answered, where `median_ms` is the
    /// median of its route. Returns the distance of the response time from what was expected when
    /// the request was sent, in logarithms.
    pub fn on_answered(&mut self, now: MonoTime, sent_at: MonoTime, median_ms: f64) -> f64 {
        let distance_us = |at: MonoTime| at.as_us().abs_diff(sent_at.as_us());
        let nearest = self.open.iter().enumerate().min_by_key(|(_, (at, _))| distance_us(*at));
        let nearest = nearest.map(|(index, _)| index);
        let sent = nearest.and_then(|index| self.open.remove(index));
        let recent_when_sent = sent.map_or(0.0, |(_, recent)| recent);
        let response_ms = now.since(sent_at).as_secs_f64() * 1_000.0;
        let distance = log_ratio(response_ms, median_ms) - self.lasting;
        let error = distance - recent_when_sent.max(0.0);
        let distance = distance.clamp(-Self::DISTANCE_MAX, Self::DISTANCE_MAX);
        let recent = self.decayed_recent(now);
        self.recent = recent + (distance - recent) * Self::RECENT_STEP;
        self.recent_at = now;
        let step = (1.0 / f64::from(self.responses + 2)).clamp(Self::LASTING_STEP, 0.2);
        let lasting = self.lasting + distance * step;
        self.lasting = lasting.clamp(-Self::LASTING_MAX, Self::LASTING_MAX);
        self.responses = self.responses.saturating_add(1);
        error
    }

    /// Records that requests ended in any way, so that at most `open` are left.
    pub fn set_open(&mut self, open: u32) {
        while self.open.len() > open as usize {
            self.open.pop_front();
        }
    }

    /// Returns whether the factor holds the way to the server.
    pub fn is_settled(&self) -> bool {
        self.responses >= Self::SETTLED_RESPONSES
    }

    /// Returns the expected response time of a request whose route has this median.
    pub fn expected_ms(&self, now: MonoTime, median_ms: f64) -> f64 {
        median_ms * (self.lasting + self.recent(now, median_ms).max(0.0)).exp()
    }

    /// Returns the recent factor in logarithms, with what the age of the oldest request shows.
    fn recent(&self, now: MonoTime, median_ms: f64) -> f64 {
        let recent = self.decayed_recent(now);
        let Some((oldest, _)) = self.open.front() else { return recent };
        let age_ms = now.since(*oldest).as_secs_f64() * 1_000.0;
        let distance = (log_ratio(age_ms, median_ms) - self.lasting).min(Self::DISTANCE_MAX);
        recent + (distance - recent).max(0.0) * Self::RECENT_STEP
    }

    fn decayed_recent(&self, now: MonoTime) -> f64 {
        let age_ms = now.since(self.recent_at).as_secs_f64() * 1_000.0;
        self.recent * (-age_ms / Self::RECENT_MS).exp()
    }
}

fn log_ratio(value: f64, reference: f64) -> f64 {
    (value.max(f64::MIN_POSITIVE) / reference.max(f64::MIN_POSITIVE)).ln()
}
