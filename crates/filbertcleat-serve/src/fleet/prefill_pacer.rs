//! Paces the prompts sent to an engine, so that prefill does not stall its running streams.

use std::collections::VecDeque;

use filbertcleat_base::MonoTime;

use crate::RequestDemand;

/// Paces the prompts sent to one engine.
///
/// An engine prefills prompts between the decoding steps of its running streams, so that prompts
/// sent close together cause one long gap in all streams. Prompts are therefore sent at a rate that
/// keeps the gaps within the objectives of the routes.
#[derive(Clone, Debug)]
pub(crate) struct PrefillPacer {
    /// The prompts that this entry has recently sent: the time and the number of tokens.
    sent: VecDeque<(MonoTime, u64)>,
    sent_tokens: u64,
    /// The tokens that other entries sent within the window before the given time.
    others_tokens: Option<(MonoTime, u64)>,
    ms_per_token: f64,
    /// The value of `sent_tokens` after a prompt whose response shows the prefill rate. The
    /// response counts only if no further prompt has been sent since.
    probe: Option<u64>,
}

impl PrefillPacer {
    /// The window over which prompts are paced. Agents count the prompts of other entries over the
    /// same window.
    pub const WINDOW_MS: u64 = 300;
    /// The part of a gap that prefill may fill. The rest is for the decoding steps themselves, of
    /// which an event takes three, and for prompts that two entries send at the same moment.
    const GAP_SHARE: f64 = 0.65;
    /// The prefill time per token that is assumed until responses show it.
    const DEFAULT_MS_PER_TOKEN: f64 = 0.06;
    /// The lowest prefill time per token that is learned. Prefix caches distort single responses.
    const MS_PER_TOKEN_MIN: f64 = 0.03;
    /// The highest prefill time per token that is learned. Queues distort single responses.
    const MS_PER_TOKEN_MAX: f64 = 0.3;
    /// The weight of a response that is faster than the learned prefill time. It is higher than the
    /// weight of a slower one, since a slow response is mostly due to prompts of other entries,
    /// while a fast one shows the engine's own speed.
    const FASTER_WEIGHT: f64 = 0.3;
    /// The weight of a response that is slower than the learned prefill time.
    const SLOWER_WEIGHT: f64 = 0.03;
    /// The part of a gap that a prompt may fill if no other prompt is being prefilled.
    const SINGLE_PROMPT_GAP_SHARE: f64 = 0.75;
    /// The part of the time to the first event that is not prefill: one or two decoding steps.
    const DECODE_MS: u64 = 25;
    /// The shortest prompt from which the prefill time per token can be measured.
    const PROBE_TOKENS_MIN: u64 = 500;

    /// Creates the pacing state of an engine to which nothing was sent yet.
    pub fn new() -> Self {
        Self {
            sent: VecDeque::new(),
            sent_tokens: 0,
            others_tokens: None,
            ms_per_token: Self::DEFAULT_MS_PER_TOKEN,
            probe: None,
        }
    }

    /// Returns the total of prompt tokens that this entry has ever sent.
    pub fn sent_tokens(&self) -> u64 {
        self.sent_tokens
    }

    /// Records that a prompt is sent.
    pub fn on_sent(&mut self, now: MonoTime, demand: &RequestDemand) {
        let is_alone = self.recent_tokens(now) == 0;
        while self.sent.front().is_some_and(|(at, _)| now.ms_since(*at) > Self::WINDOW_MS) {
            self.sent.pop_front();
        }
        self.sent.push_back((now, demand.prompt_tokens));
        self.sent_tokens += demand.prompt_tokens;
        // Only a prompt that overlaps with no other shows the prefill time of the engine.
        let is_probe = is_alone && demand.prompt_tokens >= Self::PROBE_TOKENS_MIN;
        self.probe = is_probe.then_some(self.sent_tokens);
    }

    /// Records that a response began `wait_ms` after its request was sent, and learns the prefill
    /// time per token from it if the request was a probe.
    pub fn on_response_started(&mut self, demand: &RequestDemand, wait_ms: u64) {
        if self.probe.take() != Some(self.sent_tokens) {
            return;
        }
        let prefill_ms = wait_ms.saturating_sub(Self::DECODE_MS) as f64;
        let measured = prefill_ms / demand.prompt_tokens.max(1) as f64;
        let measured = measured.clamp(Self::MS_PER_TOKEN_MIN, Self::MS_PER_TOKEN_MAX);
        let is_faster = measured < self.ms_per_token;
        let weight = if is_faster { Self::FASTER_WEIGHT } else { Self::SLOWER_WEIGHT };
        self.ms_per_token += (measured - self.ms_per_token) * weight;
    }

    /// Sets the prompt tokens that other entries have sent within the window, as the agent counts
    /// them.
    pub fn set_others_tokens(&mut self, now: MonoTime, tokens: u64) {
        self.others_tokens = Some((now, tokens));
    }

    /// Returns the prompt tokens that all entries have sent within the window.
    pub fn recent_tokens(&self, now: MonoTime) -> u64 {
        let own = self.sent.iter().filter(|(at, _)| now.ms_since(*at) <= Self::WINDOW_MS);
        let own: u64 = own.map(|(_, tokens)| tokens).sum();
        // The reported tokens of other entries leave the window linearly over its length.
        let others = self.others_tokens.map_or(0, |(at, tokens)| {
            let left_ms = Self::WINDOW_MS.saturating_sub(now.ms_since(at));
            tokens * left_ms / Self::WINDOW_MS
        });
        own + others
    }

    /// Estimates the time until a prompt that is sent now has been prefilled.
    pub fn prefill_ms(&self, now: MonoTime, demand: &RequestDemand) -> f64 {
        (self.recent_tokens(now) + demand.prompt_tokens) as f64 * self.ms_per_token
    }

    /// Returns whether a prompt would, even on its own, stall the running streams for longer than
    /// the request's gap objective.
    pub fn prompt_exceeds_gap(&self, demand: &RequestDemand) -> bool {
        let prefill_ms = demand.prompt_tokens as f64 * self.ms_per_token;
        let gap_ms = demand.gap_objective_ms;
        gap_ms > 0 && prefill_ms > gap_ms as f64 * Self::SINGLE_PROMPT_GAP_SHARE
    }

    /// Returns whether a prompt can be sent now without stalling the running streams for longer
    /// than the request's gap objective.
    pub fn has_capacity(&self, now: MonoTime, demand: &RequestDemand) -> bool {
        let recent_tokens = self.recent_tokens(now);
        if demand.gap_objective_ms == 0 || recent_tokens == 0 {
            return true;
        }
        let prefill_ms = (recent_tokens + demand.prompt_tokens) as f64 * self.ms_per_token;
        prefill_ms <= Self::prefill_budget_ms(demand)
    }

    /// Returns the rate at which prompts may be sent without stalling the running streams for
    /// longer than the request's gap objective, in tokens per millisecond.
    pub fn tokens_per_ms(&self, demand: &RequestDemand) -> f64 {
        Self::prefill_budget_ms(demand) / self.ms_per_token / Self::WINDOW_MS as f64
    }

    /// Returns the time within the window that prefill may fill.
    fn prefill_budget_ms(demand: &RequestDemand) -> f64 {
        let window_ms = Self::WINDOW_MS;
        let gap_ms = demand.gap_objective_ms;
        let gap_ms = if gap_ms == 0 { window_ms } else { gap_ms.min(window_ms) };
        gap_ms as f64 * Self::GAP_SHARE
    }
}
