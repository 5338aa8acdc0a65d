//! What an entry believes of one backend server.

use std::collections::BTreeMap;

use filbertcleat_base::ModelName;
use filbertcleat_base::MonoTime;
use filbertcleat_base::stable_hash;

use super::prefill::Prefill;
use crate::AdapterKey;
use crate::AdapterStage;
use crate::AgentUpdate;
use crate::ListedServer;
use crate::RequestDemand;

/// What an entry believes of one backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// What the list says of it.
    pub listed: ListedServer,
    /// Requests of this entry that it has not finished.
    pub open_requests: u32,
    /// Requests of this entry sent since its agent last spoke.
    pub sent_since_update: u32,
    /// When it last sent a byte of an answer.
    pub last_byte_at: MonoTime,
    hash: u64,
    prefill: Prefill,
    memory_since_news_tokens: u64,
    news: Option<(MonoTime, AgentUpdate)>,
    uses: BTreeMap<AdapterKey, u32>,
    doubt_until: MonoTime,
    failures_in_row: u32,
    failed_share: f64,
    oldest_waiting: Option<MonoTime>,
}

/// How a request at a backend server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// It was answered in full.
    Answered,
    /// It was answered with a failure of the backend server's own.
    Failed,
    /// The backend server had no room and did not run it.
    Full,
    /// The backend server lacks the adapter or its version and did not run it.
    Lacking,
    /// Another backend server has the address.
    Misdirected,
    /// No connection could be made.
    Unreachable,
    /// The connection broke, or the answer was not the protocol's.
    Broken,
    /// No answer came in time.
    Silent,
    /// The caller left, or the entry gave up for reasons of its own.
    Left,
}

impl Server {
    /// An agent repeats its news at least every 500 ms; three may be lost.
    const NEWS_FRESH_MS: u64 = 1_600;
    /// The first pause after a failure; it doubles with each further one.
    const DOUBT_MS: u64 = 250;
    /// The longest pause, so that a backend server that is back gets work within the recovery time.
    const DOUBT_MAX_MS: u64 = 4_000;
    /// A backend server with work that sends nothing for so long may be gone: many times the time
    /// between two events of any answer.
    const SILENCE_MS: u64 = 1_500;
    /// The weight of one ending in the share of failures.
    const FAILED_WEIGHT: f64 = 0.1;

    /// Creates the belief from the list's entry.
    pub fn new(now: MonoTime, listed: ListedServer) -> Self {
        Self {
            hash: stable_hash(&listed.address.to_string()),
            listed,
            open_requests: 0,
            sent_since_update: 0,
            last_byte_at: now,
            prefill: Prefill::new(),
            memory_since_news_tokens: 0,
            news: None,
            uses: BTreeMap::new(),
            doubt_until: MonoTime::ZERO,
            failures_in_row: 0,
            failed_share: 0.0,
            oldest_waiting: None,
        }
    }

    /// Takes over a new entry of the list; another start under the same id begins anew.
    pub fn apply_listing(&mut self, now: MonoTime, listed: ListedServer) {
        let is_restarted = listed.started_unix_ms != self.listed.started_unix_ms;
        let is_moved = listed.address != self.listed.address;
        if is_restarted || is_moved {
            *self = Self::new(now, listed);
            return;
        }
        self.listed = listed;
    }

    /// Takes in what its agent says, unless it is older than what is known.
    pub fn apply_update(&mut self, now: MonoTime, news: AgentUpdate) {
        let is_old = self
            .news
            .as_ref()
            .is_some_and(|(_, known)| known.agent == news.agent && known.sequence >= news.sequence);
        if is_old {
            return;
        }
        self.prefill.hear_others(now, news.others_prompt_tokens);
        self.news = Some((now, news));
        self.sent_since_update = 0;
        self.memory_since_news_tokens = 0;
    }

    /// Returns the agent's last word if it is fresh.
    pub fn fresh_update(&self, now: MonoTime) -> Option<&AgentUpdate> {
        self.news
            .as_ref()
            .filter(|(heard, _)| now.ms_since(*heard) <= Self::NEWS_FRESH_MS)
            .map(|(_, news)| news)
    }

    /// Returns how old the agent's last word is.
    pub fn update_age_ms(&self, now: MonoTime) -> Option<u64> {
        self.news.as_ref().map(|(heard, _)| now.ms_since(*heard))
    }

    /// Returns whether new requests may be sent.
    pub fn is_usable(&self, now: MonoTime) -> bool {
        !self.listed.is_draining && now >= self.doubt_until && !self.is_silent(now)
    }

    /// Returns whether the base model is held, by the agent's word or else the list's.
    pub fn has_model(&self, model: &ModelName) -> bool {
        match &self.news {
            Some((_, news)) => news.available_models.contains(model),
            None => self.listed.models.iter().any(|held| held.name == *model),
        }
    }

    /// Returns whether the base model is on its way here.
    pub fn is_loading_model(&self, model: &ModelName) -> bool {
        self.news.as_ref().is_some_and(|(_, news)| news.loading_models.contains(model))
    }

    /// Returns whether an adapter is held at the version or a later one.
    pub fn has_adapter(&self, key: &AdapterKey, version: u64) -> bool {
        self.loaded_version(key).is_some_and(|held| held >= version)
    }

    /// Returns the version at which an adapter can be used here.
    pub fn loaded_version(&self, key: &AdapterKey) -> Option<u64> {
        let (_, news) = self.news.as_ref()?;
        let mut held = news.adapters.iter().filter(|held| held.key == *key);
        held.find(|held| held.stage == AdapterStage::Loaded).map(|held| held.version)
    }

    /// Returns whether an adapter is on its way here at the version or a later one.
    pub fn is_loading_adapter(&self, now: MonoTime, key: &AdapterKey, version: u64) -> bool {
        self.fresh_update(now).is_some_and(|news| {
            news.adapters.iter().any(|held| {
                held.key == *key && held.stage == AdapterStage::Loading && held.version >= version
            })
        })
    }

    /// Returns the adapters that this entry's requests run on, with their number.
    pub fn adapters_in_use(&self) -> impl Iterator<Item = (&AdapterKey, u32)> {
        self.uses.iter().map(|(key, count)| (key, *count))
    }

    /// Returns the hash of its place, which outlives a restart as its copies of adapters do.
    pub fn address_hash(&self) -> u64 {
        self.hash
    }

    /// Returns the requests in its batch and queue, counting this entry's latest.
    pub fn request_load(&self, now: MonoTime) -> u32 {
        match self.fresh_update(now) {
            Some(news) => (news.running_requests + news.waiting_requests + self.sent_since_update)
                .max(self.open_requests),
            None => self.open_requests,
        }
    }

    /// Returns whether a request would have to wait for a place or for memory.
    pub fn is_full(&self, now: MonoTime, demand: &RequestDemand, slots: u32) -> bool {
        if self.request_load(now) >= slots {
            return true;
        }
        self.fresh_update(now).is_some_and(|news| {
            let used = news.memory_used_tokens + self.memory_since_news_tokens;
            news.memory_tokens > 0 && used + demand.memory_tokens() > news.memory_tokens
        })
    }

    /// Estimates the time until a request's first event if it were sent now.
    pub fn estimated_first_event_ms(&self, now: MonoTime, demand: &RequestDemand) -> f64 {
        self.prefill.read_ms(now, demand)
    }

    /// Returns whether a prompt can be sent without too long a pause in the running streams.
    pub fn has_prefill_capacity(&self, now: MonoTime, demand: &RequestDemand) -> bool {
        self.prefill.has_room(now, demand)
    }

    /// Returns whether a prompt alone makes too long a pause in streams that run here.
    pub fn prompt_exceeds_gap(&self, now: MonoTime, demand: &RequestDemand) -> bool {
        self.request_load(now) > 0 && self.prefill.is_strained_by(demand)
    }

    /// Returns the prompts that all entries may send here in a millisecond, in tokens.
    pub fn prefill_tokens_per_ms(&self, demand: &RequestDemand) -> f64 {
        self.prefill.tokens_per_ms(demand)
    }

    /// Returns the prompts that this entry has ever sent here, in tokens.
    pub fn sent_prompt_tokens(&self) -> u64 {
        self.prefill.sent_tokens()
    }

    /// Returns the recent share of requests that failed here.
    pub fn failure_rate(&self) -> f64 {
        self.failed_share
    }

    /// Notes that a request goes here.
    pub fn on_sent(&mut self, now: MonoTime, demand: &RequestDemand) {
        if self.open_requests == 0 {
            self.oldest_waiting = Some(now);
        }
        self.open_requests += 1;
        self.sent_since_update += 1;
        self.prefill.send(now, demand);
        self.memory_since_news_tokens += demand.memory_tokens();
        if let Some(key) = &demand.adapter {
            *self.uses.entry(key.clone()).or_default() += 1;
        }
    }

    /// Notes that an answer has begun.
    pub fn on_answer_started(&mut self, now: MonoTime, demand: &RequestDemand, wait_ms: u64) {
        self.last_byte_at = now;
        self.prefill.start(demand, wait_ms);
    }

    /// Notes that a request is over.
    pub fn on_ended(&mut self, now: MonoTime, demand: &RequestDemand, ending: SendOutcome) {
        self.open_requests = self.open_requests.saturating_sub(1);
        if self.open_requests == 0 {
            self.oldest_waiting = None;
        }
        if let Some(key) = &demand.adapter
            && let Some(count) = self.uses.get_mut(key)
        {
            *count -= 1;
            if *count == 0 {
                self.uses.remove(key);
            }
        }
        self.judge(now, demand, ending);
    }

    fn judge(&mut self, now: MonoTime, demand: &RequestDemand, ending: SendOutcome) {
        match ending {
            SendOutcome::Answered => {
                self.failures_in_row = 0;
                self.failed_share *= 1.0 - Self::FAILED_WEIGHT;
            }
            SendOutcome::Left => {}
            // A full server is sound; its next news tell when it has room.
            SendOutcome::Full => self.sent_since_update += 1,
            SendOutcome::Lacking => self.forget_adapter(demand),
            SendOutcome::Failed => self.fail(),
            SendOutcome::Misdirected => {
                self.fail();
                self.doubt_until = now.plus_ms(Self::DOUBT_MAX_MS);
            }
            SendOutcome::Unreachable | SendOutcome::Broken | SendOutcome::Silent => {
                self.fail();
                self.failures_in_row += 1;
                let pause_ms = Self::DOUBT_MS << (self.failures_in_row - 1).min(4);
                self.doubt_until = now.plus_ms(pause_ms.min(Self::DOUBT_MAX_MS));
            }
        }
    }

    fn fail(&mut self) {
        self.failed_share += (1.0 - self.failed_share) * Self::FAILED_WEIGHT;
    }

    /// Drops the belief that an adapter is held, until the agent speaks again.
    fn forget_adapter(&mut self, demand: &RequestDemand) {
        if let (Some((_, news)), Some(key)) = (&mut self.news, &demand.adapter) {
            news.adapters.retain(|held| held.key != *key);
        }
    }

    fn is_silent(&self, now: MonoTime) -> bool {
        self.oldest_waiting
            .is_some_and(|since| now.ms_since(since.max(self.last_byte_at)) > Self::SILENCE_MS)
    }
}
