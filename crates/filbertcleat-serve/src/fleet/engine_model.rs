//! What an entry has learned about the engines of a service.

use super::prefill_fit::PrefillFit;
use super::share_ceiling::ShareCeiling;

/// What an entry has learned about the engines of a service, from all of them together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineModel {
    /// The time to the first event over the prompt length.
    pub line: PrefillFit,
    /// How far prefill may exceed what one-step prefill allows.
    pub ceiling: ShareCeiling,
}

impl EngineModel {
    /// Creates the pessimistic assumptions about unknown engines.
    pub fn new() -> Self {
        Self { line: PrefillFit::new(), ceiling: ShareCeiling::new() }
    }

    /// Records whether an engine with a full share had a long gap. Until the line is known, shares
    /// are overestimated and show nothing.
    pub fn observe_full_share(&mut self, has_long_gap: bool) {
        if self.line.is_settled() {
            self.ceiling.observe(has_long_gap);
        }
    }
}
