//! The prompts that an engine reads between the tokens of its running streams.

use std::collections::VecDeque;

use filbertcleat_base::MonoTime;

use crate::RequestDemand;

/// What an entry knows of the prompts that one engine has lately been sent.
///
/// An engine reads prompts between the steps of the streams that it runs, so that prompts sent
/// close together make one long pause in all of them. Prompts are therefore sent at a pace that
/// leaves the pauses within what the routes allow.
#[derive(Clone, Debug)]
pub(crate) struct Prefill {
    sent: VecDeque<(MonoTime, u64)>,
    sent_tokens: u64,
    others: Option<(MonoTime, u64)>,
    ms_per_token: f64,
    probe: Option<u64>,
}

impl Prefill {
    /// The span that the pace is kept over, in which agents also count the other entries' prompts.
    pub const WINDOW_MS: u64 = 300;
    /// The part of a pause that prompts may fill; the rest is for the steps themselves, which are
    /// three to an event, and for prompts that two entries send at the same moment.
    const FILL: f64 = 0.65;
    /// The time to read a token that is assumed until answers show it.
    const MS_PER_TOKEN: f64 = 0.06;
    /// What is learned stays within these bounds, as caches and queues blur it.
    const MS_PER_TOKEN_MIN: f64 = 0.03;
    const MS_PER_TOKEN_MAX: f64 = 0.3;
    /// The weights of a quicker and of a slower answer in what is learned: a slower one has mostly
    /// met prompts of other entries, so the quick ones show the engine's own pace.
    const WEIGHT_QUICKER: f64 = 0.3;
    const WEIGHT_SLOWER: f64 = 0.03;
    /// The part of a pause that a prompt may fill which meets no other.
    const FILL_ALONE: f64 = 0.75;
    /// The part of the time to the first event that is not spent on the prompt: a step or two.
    const STEPS_MS: u64 = 25;
    /// A shorter prompt tells little about the time for a token.
    const TELLING_TOKENS: u64 = 500;

    /// Creates the knowledge of an engine that was sent nothing.
    pub fn new() -> Self {
        Self {
            sent: VecDeque::new(),
            sent_tokens: 0,
            others: None,
            ms_per_token: Self::MS_PER_TOKEN,
            probe: None,
        }
    }

    /// Returns the prompts that this entry has ever sent, in tokens.
    pub fn sent_tokens(&self) -> u64 {
        self.sent_tokens
    }

    /// Notes that a prompt is sent.
    pub fn send(&mut self, now: MonoTime, demand: &RequestDemand) {
        let is_alone = self.recent_tokens(now) == 0;
        while self.sent.front().is_some_and(|(at, _)| now.ms_since(*at) > Self::WINDOW_MS) {
            self.sent.pop_front();
        }
        self.sent.push_back((now, demand.prompt_tokens));
        self.sent_tokens += demand.prompt_tokens;
        // A prompt that meets no other tells how long the engine takes.
        let is_telling = is_alone && demand.prompt_tokens >= Self::TELLING_TOKENS;
        self.probe = is_telling.then_some(self.sent_tokens);
    }

    /// Notes the time that an answer took to begin.
    pub fn start(&mut self, demand: &RequestDemand, wait_ms: u64) {
        if self.probe.take() != Some(self.sent_tokens) {
            return;
        }
        let read_ms = wait_ms.saturating_sub(Self::STEPS_MS) as f64;
        let seen = read_ms / demand.prompt_tokens.max(1) as f64;
        let seen = seen.clamp(Self::MS_PER_TOKEN_MIN, Self::MS_PER_TOKEN_MAX);
        let is_quicker = seen < self.ms_per_token;
        let weight = if is_quicker { Self::WEIGHT_QUICKER } else { Self::WEIGHT_SLOWER };
        self.ms_per_token += (seen - self.ms_per_token) * weight;
    }

    /// Takes in what the agent counted of other entries' prompts within the window.
    pub fn hear_others(&mut self, now: MonoTime, tokens: u64) {
        self.others = Some((now, tokens));
    }

    /// Returns the prompts of all entries within the window, in tokens.
    pub fn recent_tokens(&self, now: MonoTime) -> u64 {
        let own = self.sent.iter().filter(|(at, _)| now.ms_since(*at) <= Self::WINDOW_MS);
        let own: u64 = own.map(|(_, tokens)| tokens).sum();
        // What was told ages out of the window evenly.
        let others = self.others.map_or(0, |(at, tokens)| {
            let left_ms = Self::WINDOW_MS.saturating_sub(now.ms_since(at));
            tokens * left_ms / Self::WINDOW_MS
        });
        own + others
    }

    /// Estimates the time until a prompt would be read if it were sent now.
    pub fn read_ms(&self, now: MonoTime, demand: &RequestDemand) -> f64 {
        (self.recent_tokens(now) + demand.prompt_tokens) as f64 * self.ms_per_token
    }

    /// Returns whether a prompt alone makes too long a pause in the running streams.
    pub fn is_strained_by(&self, demand: &RequestDemand) -> bool {
        let read_ms = demand.prompt_tokens as f64 * self.ms_per_token;
        demand.gap_objective_ms > 0 && read_ms > demand.gap_objective_ms as f64 * Self::FILL_ALONE
    }

    /// Returns whether a prompt can be sent without too long a pause in the running streams.
    pub fn has_room(&self, now: MonoTime, demand: &RequestDemand) -> bool {
        let recent = self.recent_tokens(now);
        if demand.gap_objective_ms == 0 || recent == 0 {
            return true;
        }
        (recent + demand.prompt_tokens) as f64 * self.ms_per_token <= Self::allowed_ms(demand)
    }

    /// Returns the prompts that may be sent in a millisecond without too long a pause, in tokens.
    pub fn tokens_per_ms(&self, demand: &RequestDemand) -> f64 {
        Self::allowed_ms(demand) / self.ms_per_token / Self::WINDOW_MS as f64
    }

    /// Returns the time within the window that prompts may fill.
    fn allowed_ms(demand: &RequestDemand) -> f64 {
        let window_ms = Self::WINDOW_MS;
        let gap_ms = if demand.gap_objective_ms == 0 {
            window_ms
        } else {
            demand.gap_objective_ms.min(window_ms)
        };
        gap_ms as f64 * Self::FILL
    }
}
