//! What an entry has learned about the engines of a service.

use super::kept_share::KeptShare;
use super::prefill_fit::ObservationFilter;
use super::prefill_fit::PrefillFit;
use super::share_ceiling::ShareCeiling;

/// What an entry has learned about the engines of a service, from all of them together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineModel {
    /// The time to the first event over the prompt length.
    pub line: PrefillFit,
    /// How far prefill may exceed what one-step prefill allows.
    pub ceiling: ShareCeiling,
    /// How much of recently read prefixes is not read again.
    pub kept: KeptShare,
}

impl EngineModel {
    /// Creates the pessimistic assumptions about unknown engines.
    pub fn new() -> Self {
        let kept = KeptShare::default();
        Self { line: PrefillFit::new(), ceiling: ShareCeiling::new(), kept }
    }

    /// Records the time to the first event of a prompt, of which the engine has recently read a
    /// prefix of this length.
    pub fn observe_response(
        &mut self,
        prompt_tokens: u64,
        kept_tokens: u64,
        wait_ms: f64,
        filter: ObservationFilter,
    ) {
        if self.line.is_settled() {
            let whole_ms = self.line.first_event_ms(prompt_tokens);
            let rest_ms = self.line.first_event_ms(prompt_tokens.saturating_sub(kept_tokens));
            self.kept.observe(wait_ms, whole_ms, rest_ms);
        }
        self.line.observe(prompt_tokens, wait_ms, filter);
    }

    /// Returns the tokens that an engine reads of a prompt, of which it has recently read a prefix of
    /// this length.
    pub fn read_tokens(&self, prompt_tokens: u64, kept_tokens: u64) -> u64 {
        prompt_tokens.saturating_sub((kept_tokens as f64 * self.kept.get()) as u64)
    }

    /// Records whether an engine with a full share had a long gap. Until the line is known, shares
    /// are overestimated and show nothing.
    pub fn observe_full_share(&mut self, has_long_gap: bool) {
        if self.line.is_settled() {
            self.ceiling.observe(has_long_gap);
        }
    }
}
