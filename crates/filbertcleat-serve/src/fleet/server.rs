//! The state of one backend server as an entry knows it.

use std::collections::BTreeMap;

use filbertcleat_base::ModelName;
use filbertcleat_base::MonoTime;
use filbertcleat_base::mix_hashes;
use filbertcleat_base::stable_hash;

use super::LimitSource;
use super::NamedLimit;
use super::OutputEstimate;
use super::RequestLimit;
use super::attempt_outcome::AttemptOutcome;
use super::engine_model::EngineModel;
use super::kept_prefixes::KeptPrefixes;
use super::limit_state::LimitState;
use super::plain_pace::PlainPace;
use super::prefill_fit::ObservationFilter;
use super::prefill_pacer::PrefillPacer;
use crate::AdapterKey;
use crate::AdapterStage;
use crate::AgentUpdate;
use crate::ListedServer;
use crate::PromptTurnRequest;
use crate::RequestDemand;
use crate::UpdateRecipients;

/// The state of one backend server as an entry knows it.
#[derive(Clone, Debug)]
pub struct Server {
    /// The server's record in the catalogue.
    pub listed: ListedServer,
    /// The requests of this entry at the server that have not ended.
    pub open_requests: u32,
    /// The requests that this entry has sent since the last update of the server's agent.
    pub sent_since_update: u32,
    /// When the last byte of a response arrived from the server.
    pub last_byte_at: MonoTime,
    /// Whether this start of the server has announced that it is leaving.
    pub(super) has_announced_leaving: bool,
    /// When the pause that the server last asked for ends.
    pub(super) paused_until: MonoTime,
    /// The limit on requests that the server names.
    pub(super) limits: LimitState,
    /// How the responses compare with those of other servers, without an engine.
    pub(crate) plain: PlainPace,
    address_hash: u64,
    prefill: PrefillPacer,
    memory_since_update_tokens: u64,
    /// The sum of the expected outputs of this entry's open requests, as multiples of the mean.
    open_outputs: f64,
    /// The latest update of the server's agent and when it arrived.
    update: Option<(MonoTime, AgentUpdate)>,
    adapters_in_use: BTreeMap<AdapterKey, u32>,
    /// The beginnings of prompts that the engine has recently read.
    kept: KeptPrefixes,
    backoff_until: MonoTime,
    consecutive_failures: u32,
    failure_rate: f64,
    /// Since when this entry has had open requests at the server without interruption.
    busy_since: Option<MonoTime>,
}

impl Server {
    /// The age up to which an agent's update counts as fresh. Agents send an update at least every
    /// 500 ms, so three may be lost.
    const UPDATE_FRESH_MS: u64 = 1_600;
    /// The backoff after the first failure. It doubles with each consecutive failure.
    const BACKOFF_MS: u64 = 250;
    /// The longest backoff, so that a recovered backend server gets requests within the required
    /// recovery time.
    const BACKOFF_MAX_MS: u64 = 4_000;
    /// A backend server with open requests that sends no byte for this long may be gone and gets no
    /// new requests. The time is many times the gap between two events of any response.
    const SILENCE_MS: u64 = 1_500;
    /// The weight of the latest outcome in the moving average of the failure rate.
    const FAILURE_RATE_WEIGHT: f64 = 0.1;

    /// Creates the state of a newly listed backend server, with what other servers of its service
    /// have shown.
    pub(super) fn new(now: MonoTime, listed: ListedServer, model: EngineModel) -> Self {
        Self {
            address_hash: stable_hash(&listed.address.to_string()),
            listed,
            open_requests: 0,
            sent_since_update: 0,
            last_byte_at: now,
            has_announced_leaving: false,
            paused_until: MonoTime::ZERO,
            limits: LimitState::default(),
            plain: PlainPace::new(now),
            prefill: PrefillPacer::new(now, model),
            memory_since_update_tokens: 0,
            open_outputs: 0.0,
            update: None,
            adapters_in_use: BTreeMap::new(),
            kept: KeptPrefixes::default(),
            backoff_until: MonoTime::ZERO,
            consecutive_failures: 0,
            failure_rate: 0.0,
            busy_since: None,
        }
    }

    /// Replaces the server's catalogue record. A new address or start time resets all state, as it
    /// shows a new incarnation under the same id. An incarnation that drains never accepts requests
    /// again; only a record from before lists it as ready.
    pub fn apply_listing(&mut self, now: MonoTime, listed: ListedServer) {
        let is_restarted = listed.started_unix_ms != self.listed.started_unix_ms;
        let is_moved = listed.address != self.listed.address;
        if is_restarted || is_moved {
            *self = Self::new(now, listed, self.prefill.model());
            return;
        }
        let is_draining = self.listed.is_draining || listed.is_draining;
        self.listed = ListedServer { is_draining, ..listed };
    }

    /// Applies an update of the server's agent, unless a later one of the same agent is known.
    pub fn apply_update(&mut self, now: MonoTime, update: AgentUpdate) {
        let is_outdated = self.update.as_ref().is_some_and(|(_, known)| {
            known.agent == update.agent && known.sequence >= update.sequence
        });
        if is_outdated {
            return;
        }
        let known = self.update.as_ref().filter(|(_, known)| known.agent == update.agent);
        // The first total of an agent does not show when the prompts were sent.
        let known_total =
            known.map_or(update.others_total_tokens, |(_, known)| known.others_total_tokens);
        let others_more = update.others_total_tokens.saturating_sub(known_total);
        self.prefill.on_others_sent(now, others_more);
        self.prefill.set_others_tokens(now, update.others_prompt_tokens);
        self.update = Some((now, update));
        self.sent_since_update = 0;
        self.memory_since_update_tokens = 0;
    }

    /// Returns the agent's latest update if it is fresh.
    pub fn fresh_update(&self, now: MonoTime) -> Option<&AgentUpdate> {
        self.update
            .as_ref()
            .filter(|(received_at, _)| now.ms_since(*received_at) <= Self::UPDATE_FRESH_MS)
            .map(|(_, update)| update)
    }

    /// Returns the age of the agent's latest update.
    pub fn update_age_ms(&self, now: MonoTime) -> Option<u64> {
        self.update.as_ref().map(|(received_at, _)| now.ms_since(*received_at))
    }

    /// Returns whether the server is leaving, according to its catalogue record, its own answers or
    /// its agent.
    pub fn is_leaving(&self) -> bool {
        self.listed.is_draining
            || self.has_announced_leaving
            || self.update.as_ref().is_some_and(|(_, update)| update.is_leaving)
    }

    /// Returns when the pause that the server asked for ends, or `None` if it is in none.
    pub fn paused_until(&self, now: MonoTime) -> Option<MonoTime> {
        Some(self.paused_until).filter(|until| *until > now)
    }

    /// Returns the limit that the server names, the lower one if two are known.
    pub fn limit(&self) -> Option<RequestLimit> {
        self.limits.limit()
    }

    /// Returns whether the server names a limit.
    pub fn is_limited(&self) -> bool {
        self.limit().is_some()
    }

    /// Returns the time until the server's limit allows this entry a request, in milliseconds.
    pub fn permit_wait_ms(&self, now: MonoTime) -> f64 {
        self.limits.wait_ms(now)
    }

    /// Returns whether the server's limit allows this entry a request now.
    pub fn has_permit(&self, now: MonoTime) -> bool {
        self.permit_wait_ms(now) <= 0.0
    }

    /// Returns whether the server itself wants requests: it is not leaving and not in a pause.
    pub fn accepts_requests(&self, now: MonoTime) -> bool {
        !self.is_leaving() && self.paused_until(now).is_none()
    }

    /// Returns whether new requests may be sent to the server.
    pub fn is_usable(&self, now: MonoTime) -> bool {
        self.accepts_requests(now) && now >= self.backoff_until && !self.is_silent(now)
    }

    /// Returns whether the server has loaded a base model, according to its agent or, without an
    /// update, to the catalogue.
    pub fn has_model(&self, model: &ModelName) -> bool {
        match &self.update {
            Some((_, update)) => update.available_models.contains(model),
            None => self.listed.models.iter().any(|listed| listed.name == *model),
        }
    }

    /// Returns whether the server is loading a base model.
    pub fn is_loading_model(&self, model: &ModelName) -> bool {
        self.update.as_ref().is_some_and(|(_, update)| update.loading_models.contains(model))
    }

    /// Returns whether the server has loaded an adapter at this version or a later one.
    pub fn has_adapter(&self, key: &AdapterKey, version: u64) -> bool {
        self.loaded_version(key).is_some_and(|loaded| loaded >= version)
    }

    /// Returns the loaded version of an adapter.
    pub fn loaded_version(&self, key: &AdapterKey) -> Option<u64> {
        let (_, update) = self.update.as_ref()?;
        let mut adapters = update.adapters.iter().filter(|adapter| adapter.key == *key);
        let loaded = adapters.find(|adapter| adapter.stage == AdapterStage::Loaded);
        loaded.map(|adapter| adapter.version)
    }

    /// Returns whether the server is loading an adapter at this version or a later one.
    pub fn is_loading_adapter(&self, now: MonoTime, key: &AdapterKey, version: u64) -> bool {
        self.fresh_update(now).is_some_and(|update| {
            update.adapters.iter().any(|adapter| {
                adapter.key == *key
                    && adapter.stage == AdapterStage::Loading
                    && adapter.version >= version
            })
        })
    }

    /// Returns the adapters of this entry's open requests, with the number of requests on each.
    pub fn adapters_in_use(&self) -> impl Iterator<Item = (&AdapterKey, u32)> {
        self.adapters_in_use.iter().map(|(key, count)| (key, *count))
    }

    /// Returns the hash of the server's address. It stays the same across restarts, as do the
    /// server's copies of adapters.
    pub fn address_hash(&self) -> u64 {
        self.address_hash
    }

    /// Returns the number of requests in the server's batch and queue, including those that this
    /// entry has sent since the last update.
    pub fn request_load(&self, now: MonoTime) -> u32 {
        match self.fresh_update(now) {
            Some(update) => {
                let reported = update.running_requests.saturating_add(update.waiting_requests);
                reported.saturating_add(self.sent_since_update).max(self.open_requests)
            }
            None => self.open_requests,
        }
    }

    /// Returns the work that the requests in the server's batch and queue cause, in requests with
    /// outputs of mean length. Only the outputs of this entry's own requests are known by adapter.
    pub fn output_load(&self, now: MonoTime) -> f64 {
        let others = self.request_load(now).saturating_sub(self.open_requests);
        f64::from(others) + self.open_outputs
    }

    /// Returns whether a request would have to wait because the batch or the KV cache has no free
    /// capacity.
    pub fn is_full(&self, now: MonoTime, demand: &RequestDemand, batch_limit: u32) -> bool {
        if self.request_load(now) >= batch_limit {
            return true;
        }
        self.fresh_update(now).is_some_and(|update| {
            let used = update.memory_used_tokens.saturating_add(self.memory_since_update_tokens);
            let needed = used.saturating_add(demand.memory_tokens());
            update.memory_tokens > 0 && needed > update.memory_tokens
        })
    }

    /// Estimates the time to the first event of a request that is sent now.
    pub fn estimated_first_event_ms(&self, now: MonoTime, demand: &RequestDemand) -> f64 {
        self.prefill.first_event_ms(now, self.read_tokens(now, demand))
    }

    /// Estimates the time to the first event of a request if no other prompt is being prefilled.
    pub fn idle_first_event_ms(&self, demand: &RequestDemand) -> f64 {
        self.prefill.idle_first_event_ms(demand.prompt_tokens)
    }

    /// Returns the length of the part of a prompt that the engine has recently read.
    pub(super) fn kept_tokens(&self, now: MonoTime, demand: &RequestDemand) -> u64 {
        // The free memory is known only from the agent.
        self.fresh_update(now).map_or(0, |update| {
            let free_tokens = update.memory_tokens.saturating_sub(update.memory_used_tokens);
            self.kept.kept_tokens(self.total_prompt_tokens(), free_tokens, &demand.prefixes)
        })
    }

    /// Returns the total of prompt tokens that all entries are known to have sent to the server.
    fn total_prompt_tokens(&self) -> u64 {
        let others = self.update.as_ref().map_or(0, |(_, update)| update.others_total_tokens);
        self.sent_prompt_tokens() + others
    }

    /// Returns the tokens of a prompt that the engine is expected to read.
    pub fn read_tokens(&self, now: MonoTime, demand: &RequestDemand) -> u64 {
        let kept_tokens = self.kept_tokens(now, demand);
        self.prefill.model().read_tokens(demand.prompt_tokens, kept_tokens)
    }

    /// Returns whether a prompt can be sent now without stalling the running streams for longer
    /// than the request's gap objective.
    pub fn has_prefill_capacity(&self, now: MonoTime, demand: &RequestDemand) -> bool {
        self.prefill.has_capacity(now, demand)
    }

    /// Returns whether a prompt would, even on its own, stall the streams that run here for longer
    /// than the request's gap objective.
    pub fn prompt_exceeds_gap(&self, now: MonoTime, demand: &RequestDemand) -> bool {
        self.request_load(now) > 0 && self.prefill.prompt_exceeds_gap(demand)
    }

    /// Returns the rate at which all entries together may send prompt tokens to the server, in
    /// tokens per millisecond.
    pub fn prefill_tokens_per_ms(&self, demand: &RequestDemand) -> f64 {
        self.prefill.tokens_per_ms(demand)
    }

    /// Returns what the server's agent has to know to decide when a prompt may be sent, or `None` if
    /// the agent need not be asked.
    ///
    /// It is asked only if its entries are so many that they don't learn of each other's prompts at
    /// once.
    pub fn turn_request(&self, now: MonoTime, demand: &RequestDemand) -> Option<PromptTurnRequest> {
        let entries = self.fresh_update(now)?.live_entries;
        if UpdateRecipients::are_all_prompt(entries as usize) {
            return None;
        }
        self.prefill.turn_request(demand)
    }

    /// Returns the learned prefill time per token, in milliseconds.
    pub fn ms_per_token(&self) -> f64 {
        self.prefill.ms_per_token()
    }

    /// Returns the learned part of a gap objective that prefill may fill within a pacing window.
    pub fn gap_share(&self) -> f64 {
        self.prefill.gap_share()
    }

    /// Returns whether the servers of the service have been shown to prefill in chunks.
    pub fn prefills_in_chunks(&self) -> bool {
        self.prefill.model().ceiling.is_chunked()
    }

    /// Returns the total of prompt tokens that this entry has ever sent to the server.
    pub fn sent_prompt_tokens(&self) -> u64 {
        self.prefill.sent_tokens()
    }

    /// Returns the moving average of the failure rate, between 0 and 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Records what an answer says about the server's limit, on which `entries` entries have a
    /// share. Returns whether that changed.
    pub(super) fn on_limit(
        &mut self,
        now: MonoTime,
        source: LimitSource,
        named: NamedLimit,
        entries: u32,
        seed: u64,
    ) -> bool {
        let hash = mix_hashes(seed, stable_hash(self.listed.id.as_str()));
        let phase = hash as f64 / u64::MAX as f64;
        self.limits.record(now, source, named, entries, phase)
    }

    /// Records that the server's agent lets the next prompt be sent only after a delay.
    pub(super) fn on_turn_delayed(&mut self, now: MonoTime, delay_ms: u64) {
        self.prefill.on_turn_delayed(now, delay_ms);
    }

    /// Records that the server's agent has no room for a prompt.
    pub(super) fn on_turn_refused(&mut self, now: MonoTime, demand: &RequestDemand) {
        self.prefill.on_turn_refused(now, demand);
    }

    /// Sets what the servers of the service have shown.
    pub(super) fn set_model(&mut self, model: EngineModel) {
        self.prefill.set_model(model);
    }

    /// Records that a request is sent to the server. Returns the time that the server needs for the
    /// prompts ahead of it, in milliseconds.
    pub(super) fn on_sent(
        &mut self,
        now: MonoTime,
        demand: &RequestDemand,
        output: Option<OutputEstimate>,
    ) -> f64 {
        self.limits.on_sent(now);
        if self.open_requests == 0 {
            self.busy_since = Some(now);
        }
        self.open_requests += 1;
        self.sent_since_update += 1;
        self.memory_since_update_tokens =
            self.memory_since_update_tokens.saturating_add(demand.memory_tokens());
        self.open_outputs += relative_output(output);
        if let Some(key) = &demand.adapter {
            *self.adapters_in_use.entry(key.clone()).or_default() += 1;
        }
        self.prefill.on_sent(now, demand)
    }

    /// Records that a response began `wait_ms` after its request was sent, with `backlog_ms` of
    /// prompts ahead of it. Returns the wait without these prompts, in milliseconds.
    pub(super) fn on_response_started(
        &mut self,
        now: MonoTime,
        demand: &RequestDemand,
        wait_ms: u64,
        backlog_ms: f64,
        filter: ObservationFilter,
    ) -> f64 {
        self.last_byte_at = now;
        if demand.prompt_tokens == 0 {
            return wait_ms as f64;
        }
        self.kept.record(self.total_prompt_tokens(), &demand.prefixes);
        self.prefill.on_response_started(demand, wait_ms, backlog_ms, filter)
    }

    /// Records that bytes of a response arrived `gap_ms` after the previous ones. Returns whether
    /// there was a long gap, after an interval in which the server used its full prefill share.
    pub(super) fn on_bytes_received(
        &mut self,
        now: MonoTime,
        demand: &RequestDemand,
        gap_ms: u64,
    ) -> Option<bool> {
        self.last_byte_at = now;
        self.prefill.on_gap(now, gap_ms, demand.gap_objective_ms)
    }

    /// Records the outcome of a request that was sent to the server.
    pub(super) fn on_ended(
        &mut self,
        now: MonoTime,
        demand: &RequestDemand,
        output: Option<OutputEstimate>,
        outcome: AttemptOutcome,
    ) {
        self.open_requests = self.open_requests.saturating_sub(1);
        self.plain.set_open(self.open_requests);
        self.open_outputs = (self.open_outputs - relative_output(output)).max(0.0);
        if self.open_requests == 0 {
            self.busy_since = None;
            // Estimates change while requests run, so that the sum need not return to zero.
            self.open_outputs = 0.0;
        }
        if let Some(key) = &demand.adapter
            && let Some(count) = self.adapters_in_use.get_mut(key)
        {
            *count -= 1;
            if *count == 0 {
                self.adapters_in_use.remove(key);
            }
        }
        self.update_health(now, demand, outcome);
    }

    /// Updates the failure rate and the backoff after an outcome.
    fn update_health(&mut self, now: MonoTime, demand: &RequestDemand, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Answered => {
                self.consecutive_failures = 0;
                self.failure_rate *= 1.0 - Self::FAILURE_RATE_WEIGHT;
            }
            AttemptOutcome::Left | AttemptOutcome::Paused => {}
            // A full server is healthy. Its load counts as higher until the next update.
            AttemptOutcome::Full => self.sent_since_update += 1,
            AttemptOutcome::Lacking => self.forget_adapter(demand),
            AttemptOutcome::Failed => self.record_failure(),
            AttemptOutcome::Misdirected => {
                self.record_failure();
                self.backoff_until = now.plus_ms(Self::BACKOFF_MAX_MS);
            }
            AttemptOutcome::Unreachable | AttemptOutcome::Broken | AttemptOutcome::Silent => {
                self.record_failure();
                self.consecutive_failures += 1;
                let backoff_ms = Self::BACKOFF_MS << (self.consecutive_failures - 1).min(4);
                self.backoff_until = now.plus_ms(backoff_ms.min(Self::BACKOFF_MAX_MS));
            }
        }
    }

    fn record_failure(&mut self) {
        self.failure_rate += (1.0 - self.failure_rate) * Self::FAILURE_RATE_WEIGHT;
    }

    /// Treats the request's adapter as not loaded until the next update of the agent.
    fn forget_adapter(&mut self, demand: &RequestDemand) {
        if let (Some((_, update)), Some(key)) = (&mut self.update, &demand.adapter) {
            update.adapters.retain(|adapter| adapter.key != *key);
        }
    }

    fn is_silent(&self, now: MonoTime) -> bool {
        self.busy_since
            .is_some_and(|since| now.ms_since(since.max(self.last_byte_at)) > Self::SILENCE_MS)
    }
}

/// Returns the expected output of a request as a multiple of the mean, which is 1 if it is unknown.
fn relative_output(output: Option<OutputEstimate>) -> f64 {
    output.map_or(1.0, |output| output.relative)
}
