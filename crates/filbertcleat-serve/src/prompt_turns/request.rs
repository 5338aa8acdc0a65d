//! An entry's request to send a prompt.

/// An entry's request to send a prompt to an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptTurnRequest {
    /// How long the engine is expected to read the prompt.
    pub prefill_ms: f64,
    /// How long prompts may be read within one pacing window.
    pub budget_ms: f64,
    /// The longest delay that leaves the request enough of its latency objective.
    pub delay_max_ms: u64,
    /// The hash of the prompt's adapter.
    pub adapter: Option<u64>,
}

impl PromptTurnRequest {
    /// Returns the request if its numbers are finite and not negative.
    pub fn checked(self) -> Option<Self> {
        let Self { prefill_ms, budget_ms, .. } = self;
        let is_valid = |number: f64| number.is_finite() && number >= 0.0;
        (is_valid(prefill_ms) && is_valid(budget_ms)).then_some(self)
    }
}
