//! Learns how far the prefill of a service's engines may exceed what one-step prefill allows.

/// The highest level of the prefill share of a service's engines (see `GapControl`).
///
/// Engines that prefill in short chunks keep their gaps short at any share, so the ceiling rises as
/// long as their full shares cause no long gaps. Engines that prefill in one step have long gaps
/// time and again at a full share, which keeps the ceiling at one. Each engine shows little, but the
/// engines of a service are of one kind, so that all of them contribute.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ShareCeiling {
    level: f64,
}

impl ShareCeiling {
    /// The highest ceiling. The share then exceeds the pacing window, so that the gaps limit nothing.
    const LEVEL_MAX: f64 = 2.0;
    /// The ceiling from which the engines are taken to prefill in chunks.
    const CHUNKED: f64 = 1.2;
    /// The rise after an interval without a long gap.
    const INCREASE: f64 = 0.01;
    /// The fall after an interval with a long gap: long gaps in a tenth of the intervals hold the
    /// ceiling.
    const DECREASE: f64 = 0.1;

    /// Creates the ceiling of engines that prefill in one step.
    pub fn new() -> Self {
        Self { level: 1.0 }
    }

    /// Returns the highest level of the share.
    pub fn level(self) -> f64 {
        self.level
    }

    /// Returns whether the engines have been shown to prefill in chunks.
    pub fn is_chunked(self) -> bool {
        self.level >= Self::CHUNKED
    }

    /// Records whether an engine with a full share had a long gap.
    pub fn observe(&mut self, has_long_gap: bool) {
        let change = if has_long_gap { -Self::DECREASE } else { Self::INCREASE };
        self.level = (self.level + change).clamp(1.0, Self::LEVEL_MAX);
    }
}
