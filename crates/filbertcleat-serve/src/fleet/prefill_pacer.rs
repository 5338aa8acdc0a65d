//! Paces the prompts sent to an engine, so that prefill does not stall its running streams.

use std::collections::VecDeque;
use std::time::Duration;

use filbertcleat_base::MonoTime;
use filbertcleat_base::stable_hash;

use super::engine_model::EngineModel;
use super::engine_pace::EnginePace;
use super::gap_control::GapControl;
use super::prefill_fit::ObservationFilter;
use crate::PromptTurnRequest;
use crate::RequestDemand;

/// Paces the prompts sent to one engine.
///
/// An engine prefills prompts between the decoding steps of its running streams, so that prompts
/// sent close together cause one long gap in all streams. Prompts are therefore sent at a rate that
/// keeps the gaps within the objectives of the routes, as the engine's own gaps show that rate. They
/// also wait here rather than in the engine once the engine has enough to read, so that more urgent
/// requests can still go first and so that the first event comes in time.
#[derive(Clone, Debug)]
pub(crate) struct PrefillPacer {
    /// The prompts that this entry has recently sent: the time and the number of tokens.
    sent: VecDeque<(MonoTime, u64)>,
    sent_tokens: u64,
    /// The tokens that other entries sent within the window before the given time.
    others_tokens: Option<(MonoTime, u64)>,
    /// When the engine is expected to have read all prompts sent so far.
    read_at: MonoTime,
    model: EngineModel,
    pace: EnginePace,
    gaps: GapControl,
}

impl PrefillPacer {
    /// The window over which prompts are paced. Agents count the prompts of other entries over the
    /// same window.
    pub const WINDOW_MS: u64 = 300;
    /// The part of a gap that a prompt may fill if no other prompt is being prefilled.
    const SINGLE_PROMPT_GAP_SHARE: f64 = 0.75;
    /// A prompt that fills this part of the allowed prefill time is long. The window of a busy engine
    /// is hardly ever so empty that it fits, so that decreases of the time do not apply to it.
    const LONG_PROMPT_SHARE: f64 = 0.75;
    /// An engine that prefills in chunks gets a long prompt when the prompts ahead of it fill at most
    /// this part of the allowed prefill time. Its streams are delayed by some of the chunks only.
    const LONG_PROMPT_BACKLOG_SHARE: f64 = 0.25;
    /// The part of the latency objective that the prompts ahead of a request may take. The rest is
    /// for its own prompt and for the way to the caller.
    const BACKLOG_SHARE: f64 = 0.5;

    /// The longest time that an engine is expected to need for what was sent: the longest timeout of
    /// a stream on the first deployments. Without a bound one request that names a huge prompt would
    /// keep an engine from getting any others.
    const BACKLOG_MAX_MS: u64 = 30_000;

    /// Creates the pacing state of an engine to which nothing was sent yet.
    pub fn new(now: MonoTime, model: EngineModel) -> Self {
        Self {
            sent: VecDeque::new(),
            sent_tokens: 0,
            others_tokens: None,
            read_at: now,
            model,
            pace: EnginePace::new(),
            gaps: GapControl::new(now),
        }
    }

    /// Returns the total of prompt tokens that this entry has ever sent.
    pub fn sent_tokens(&self) -> u64 {
        self.sent_tokens
    }

    /// Returns what the engines of the service have shown.
    pub fn model(&self) -> EngineModel {
        self.model
    }

    /// Sets what the engines of the service have shown.
    pub fn set_model(&mut self, model: EngineModel) {
        self.model = model;
        self.gaps.set_ceiling(model.ceiling.level());
    }

    /// Records that a prompt is sent. Returns the time that the engine still needs for the prompts
    /// ahead of it.
    pub fn on_sent(&mut self, now: MonoTime, demand: &RequestDemand) -> f64 {
        let is_overlapping = self.recent_tokens(now) > 0;
        while self.sent.front().is_some_and(|(at, _)| now.ms_since(*at) > Self::WINDOW_MS) {
            self.sent.pop_front();
        }
        self.sent.push_back((now, demand.prompt_tokens));
        self.sent_tokens = self.sent_tokens.saturating_add(demand.prompt_tokens);
        let backlog_ms = self.backlog_ms(now);
        self.extend_backlog(now, demand.prompt_tokens);
        if demand.gap_objective_ms > 0 {
            let budget_ms = self.prefill_budget_ms(demand);
            let sent_ms = self.recent_tokens(now) as f64 * self.ms_per_token();
            self.gaps.on_sent(sent_ms / budget_ms, is_overlapping);
        }
        backlog_ms
    }

    /// Records that a response began `wait_ms` after its request was sent, with `backlog_ms` of
    /// prompts ahead of it, and learns the engine's pace from it.
    ///
    /// Returns the time to the first event without the prompts ahead.
    pub fn on_response_started(
        &mut self,
        demand: &RequestDemand,
        wait_ms: u64,
        backlog_ms: f64,
        filter: ObservationFilter,
    ) -> f64 {
        let wait_ms = wait_ms as f64;
        let expected_ms = backlog_ms + self.idle_first_event_ms(demand.prompt_tokens);
        let is_undelayed = match filter {
            ObservationFilter::All => true,
            ObservationFilter::Undelayed => !self.model.line.is_delayed(wait_ms - expected_ms),
        };
        if is_undelayed && !filter.leaves_out(backlog_ms) {
            self.pace.observe(wait_ms / expected_ms.max(1.0));
        }
        (wait_ms - backlog_ms).max(0.0)
    }

    /// Records the gap between two events of a stream from the engine. Returns whether there
    /// was a long gap, after an interval in which the engine used its full share.
    pub fn on_gap(&mut self, now: MonoTime, gap_ms: u64, objective_ms: u64) -> Option<bool> {
        self.gaps.on_gap(now, gap_ms, objective_ms)
    }

    /// Sets the prompt tokens that other entries have sent within the window, as the agent counts
    /// them.
    pub fn set_others_tokens(&mut self, now: MonoTime, tokens: u64) {
        self.others_tokens = Some((now, tokens));
    }

    /// Records that other entries have sent prompts since the last update of the agent.
    pub fn on_others_sent(&mut self, now: MonoTime, tokens: u64) {
        self.extend_backlog(now, tokens);
    }

    /// Records that the agent lets the next prompt be sent only after a delay.
    pub fn on_turn_delayed(&mut self, now: MonoTime, delay_ms: u64) {
        self.read_at = self.read_at.max(now.plus_ms(delay_ms));
    }

    /// Records that the agent has no room for a prompt. The engine counts as busy for one window, in
    /// which other engines may turn out to be free; then the agent may be asked again.
    pub fn on_turn_refused(&mut self, now: MonoTime, demand: &RequestDemand) {
        let backlog_max_ms = demand.latency_objective_ms as f64 * Self::BACKLOG_SHARE;
        self.on_turn_delayed(now, backlog_max_ms as u64 + Self::WINDOW_MS);
    }

    /// Returns the prompt tokens that all entries have sent within the window.
    pub fn recent_tokens(&self, now: MonoTime) -> u64 {
        let own = self.sent.iter().filter(|(at, _)| now.ms_since(*at) <= Self::WINDOW_MS);
        own.fold(self.others_recent_tokens(now), |sum, (_, tokens)| sum.saturating_add(*tokens))
    }

    /// Estimates the time to the first event of a prompt that is sent now.
    pub fn first_event_ms(&self, now: MonoTime, read_tokens: u64) -> f64 {
        self.backlog_ms(now) + self.idle_first_event_ms(read_tokens)
    }

    /// Returns whether a prompt would, even on its own, stall the running streams for longer than
    /// the request's gap objective.
    pub fn prompt_exceeds_gap(&self, demand: &RequestDemand) -> bool {
        let prefill_ms = demand.prompt_tokens as f64 * self.ms_per_token();
        let gap_ms = demand.gap_objective_ms;
        let share = self.gaps.share().max(Self::SINGLE_PROMPT_GAP_SHARE);
        gap_ms > 0 && prefill_ms > gap_ms as f64 * share
    }

    /// Returns whether a prompt can be sent now without stalling the running streams for longer
    /// than the request's gap objective, and without waiting long in the engine.
    ///
    /// Load pattern: many short prompts and a few long ones arrive for the same engine. Short ones
    /// always find room first, so a long one goes as soon as the engine has read the others, if the
    /// engine does not stall its streams for the whole of a long prompt.
    pub fn has_capacity(&self, now: MonoTime, demand: &RequestDemand) -> bool {
        let recent_tokens = self.recent_tokens(now);
        if demand.gap_objective_ms == 0 || recent_tokens == 0 {
            return true;
        }
        let prompt_ms = demand.prompt_tokens as f64 * self.ms_per_token();
        let recent_ms = recent_tokens as f64 * self.ms_per_token();
        let backlog_ms = self.backlog_ms(now);
        let budget_ms = self.prefill_budget_ms(demand);
        let is_long = prompt_ms > budget_ms * Self::LONG_PROMPT_SHARE;
        if is_long && self.model.ceiling.is_chunked() {
            return backlog_ms <= budget_ms * Self::LONG_PROMPT_BACKLOG_SHARE;
        }
        let full_budget_ms = budget_ms * self.gaps.full_share() / self.gaps.share();
        let budget_ms = if is_long { full_budget_ms } else { budget_ms };
        let backlog_max_ms = demand.latency_objective_ms as f64 * Self::BACKLOG_SHARE;
        recent_ms + prompt_ms <= budget_ms && backlog_ms <= backlog_max_ms
    }

    /// Returns what an agent has to know to decide when a prompt may be sent, or `None` for a request
    /// that is not streamed.
    pub fn turn_request(&self, demand: &RequestDemand) -> Option<PromptTurnRequest> {
        (demand.gap_objective_ms > 0).then(|| PromptTurnRequest {
            prefill_ms: demand.prompt_tokens as f64 * self.ms_per_token(),
            budget_ms: self.prefill_budget_ms(demand),
            delay_max_ms: (demand.latency_objective_ms as f64 * Self::BACKLOG_SHARE) as u64,
            adapter: demand.adapter.as_ref().map(|key| stable_hash(key.adapter.as_str())),
        })
    }

    /// Returns the rate at which prompts may be sent without stalling the running streams for
    /// longer than the request's gap objective, in tokens per millisecond.
    pub fn tokens_per_ms(&self, demand: &RequestDemand) -> f64 {
        let window_ms = Self::WINDOW_MS as f64;
        self.prefill_budget_ms(demand).min(window_ms) / self.ms_per_token() / window_ms
    }

    /// Returns the part of a gap objective that prefill may currently fill within one window.
    pub fn gap_share(&self) -> f64 {
        self.gaps.share()
    }

    /// Returns the prefill time per token.
    pub fn ms_per_token(&self) -> f64 {
        self.model.line.ms_per_token() * self.pace.factor()
    }

    /// Estimates the time to the first event of a prompt if no other one is being prefilled.
    pub fn idle_first_event_ms(&self, read_tokens: u64) -> f64 {
        self.model.line.first_event_ms(read_tokens) * self.pace.factor()
    }

    /// Returns the time that the engine is expected to need for the prompts sent so far.
    fn backlog_ms(&self, now: MonoTime) -> f64 {
        self.read_at.since(now).as_secs_f64() * 1_000.0
    }

    fn extend_backlog(&mut self, now: MonoTime, tokens: u64) {
        let read_us = (tokens as f64 * self.ms_per_token() * 1_000.0) as u64;
        let read_at = self.read_at.max(now) + Duration::from_micros(read_us);
        self.read_at = read_at.min(now.plus_ms(Self::BACKLOG_MAX_MS));
    }

    /// Returns the tokens that other entries have sent within the window. They leave the window
    /// linearly over its length.
    fn others_recent_tokens(&self, now: MonoTime) -> u64 {
        self.others_tokens.map_or(0, |(at, tokens)| {
            let left_ms = Self::WINDOW_MS.saturating_sub(now.ms_since(at));
            tokens.saturating_mul(left_ms) / Self::WINDOW_MS
        })
    }

    /// Returns the time within the window that prefill may fill.
    fn prefill_budget_ms(&self, demand: &RequestDemand) -> f64 {
        let window_ms = Self::WINDOW_MS;
        let gap_ms = demand.gap_objective_ms;
        let gap_ms = if gap_ms == 0 { window_ms } else { gap_ms.min(window_ms) };
        gap_ms as f64 * self.gaps.share()
    }
}
