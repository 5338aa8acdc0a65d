//! Learns how much prefill an engine can do between two events without late events.

use filbertcleat_base::MonoTime;

/// Adapts the prefill time that an engine may be given per pacing window to the gaps that its
/// streams show.
///
/// An engine that prefills all waiting prompts in one step delays its streams by all of them, so
/// that prefill may fill a gap objective but for the decoding steps of an event, which the shortest
/// gaps show. Gaps near the objective lower this share, as when the engine turns slow, and short
/// gaps under load restore it. An engine that prefills in short chunks delays its streams by a few
/// chunks, however much is waiting; a full share then causes no long gaps, which raises the ceiling
/// of all engines of the service (`ShareCeiling`).
///
/// Load pattern: prompts arrive at all entries as fast as the engines can read them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GapControl {
    /// The factor between the share and its limit for an engine that prefills in one step.
    level: f64,
    level_max: f64,
    /// The gap without prefill, as a part of the objective.
    decoding_gap: f64,
    interval: Interval,
}

/// The observations since the last change of the level.
#[derive(Clone, Copy, Debug)]
struct Interval {
    since: MonoTime,
    /// The longest gap, in gap objectives.
    longest_gap: f64,
    /// The largest part of the allowed prefill time that was sent within one window.
    sent: f64,
    /// Whether prompts overlapped.
    has_overlap: bool,
}

impl GapControl {
    /// A longer gap than this part of the objective lowers the share. The rest is for the way to the
    /// caller, and for prompts that several entries send at the same moment.
    const LONG_GAP: f64 = 0.8;
    /// Gaps up to this part of the objective are short.
    const SHORT_GAP: f64 = 0.65;
    /// Gaps beyond this many objectives are not due to prefill, which never takes that long within
    /// the shares allowed here, but to an engine or a connection that fails.
    const FAILURE_GAP: f64 = 4.0;
    /// The assumed gap without prefill, until gaps show it.
    const DECODING_GAP_PRIOR: f64 = 0.2;
    /// The quantile of all gaps that counts as the gap without prefill.
    const DECODING_QUANTILE: f64 = 0.1;
    /// The relative step of the estimate of that quantile.
    const DECODING_STEP: f64 = 0.1;
    /// The longest assumed gap without prefill, which leaves a part of the objective for prefill.
    const DECODING_GAP_MAX: f64 = 0.5;
    /// The lowest level.
    const LEVEL_MIN: f64 = 0.5;
    /// The increase of the level after an interval with short gaps under load.
    const INCREASE: f64 = 0.05;
    /// The largest decrease after an interval with a long gap.
    const DECREASE_MAX: f64 = 0.2;
    /// The part of the allowed prefill time from which short gaps show that the share is too low.
    const USED_MIN: f64 = 0.8;
    /// The part of the ceiling from which a level counts as full.
    const FULL: f64 = 0.95;
    /// The interval between two changes, in which a change takes effect.
    const INTERVAL_MS: u64 = 300;

    /// Creates the control of an engine whose gaps are not known yet.
    pub fn new(now: MonoTime) -> Self {
        let interval = Interval::new(now);
        Self { level: 1.0, level_max: 1.0, decoding_gap: Self::DECODING_GAP_PRIOR, interval }
    }

    /// Returns the part of a gap objective that prefill may fill within one pacing window.
    pub fn share(&self) -> f64 {
        (Self::LONG_GAP - self.decoding_gap.min(Self::DECODING_GAP_MAX)) * self.level
    }

    /// Returns the share without the decrease after long gaps.
    pub fn full_share(&self) -> f64 {
        self.share() / self.level.min(1.0)
    }

    /// Sets the highest level.
    pub fn set_ceiling(&mut self, level: f64) {
        self.level_max = level;
        self.level = self.level.min(level);
    }

    /// Records that a prompt is sent: the part of the allowed prefill time that was sent within the
    /// window, with the prompt, and whether another prompt may still be in progress.
    pub fn on_sent(&mut self, sent: f64, is_overlapping: bool) {
        self.interval.sent = self.interval.sent.max(sent);
        self.interval.has_overlap |= is_overlapping;
    }

    /// Records the gap between two events of a stream. Returns whether there was a long gap, after an
    /// interval in which the engine used its full share.
    pub fn on_gap(&mut self, now: MonoTime, gap_ms: u64, objective_ms: u64) -> Option<bool> {
        if objective_ms == 0 {
            return None;
        }
        let gap = gap_ms as f64 / objective_ms as f64;
        let is_below = gap < self.decoding_gap;
        let quantile = Self::DECODING_QUANTILE;
        self.decoding_gap *=
            1.0 + Self::DECODING_STEP * if is_below { quantile - 1.0 } else { quantile };
        if gap <= Self::FAILURE_GAP {
            self.interval.longest_gap = self.interval.longest_gap.max(gap);
        }
        if now.ms_since(self.interval.since) < Self::INTERVAL_MS {
            return None;
        }
        let ended = std::mem::replace(&mut self.interval, Interval::new(now));
        self.adapt(ended)
    }

    fn adapt(&mut self, ended: Interval) -> Option<bool> {
        let Interval { longest_gap, sent, has_overlap, .. } = ended;
        let is_loaded = sent >= Self::USED_MIN;
        let is_full = is_loaded && self.level >= self.level_max * Self::FULL;
        let has_long_gap = longest_gap > Self::LONG_GAP;
        // No pacing shortens the gap that a single prompt causes.
        if has_long_gap && has_overlap {
            let excess = (longest_gap - Self::SHORT_GAP).min(Self::DECREASE_MAX);
            self.level = (self.level * (1.0 - excess)).max(Self::LEVEL_MIN);
        } else if longest_gap <= Self::SHORT_GAP && is_loaded {
            self.level = (self.level + Self::INCREASE).min(self.level_max);
        }
        is_full.then_some(has_long_gap)
    }
}

impl Interval {
    fn new(since: MonoTime) -> Self {
        Self { since, longest_gap: 0.0, sent: 0.0, has_overlap: false }
    }
}
