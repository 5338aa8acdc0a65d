//! The state of all backend servers as an entry knows it.

mod adapter_lengths;
mod attempt_outcome;
mod engine_model;
mod engine_pace;
mod former_versions;
mod gap_control;
mod kept_prefixes;
mod kept_share;
mod limit_source;
mod limit_state;
mod listing_grace;
mod missing_servers;
mod named_limit;
mod output_estimate;
mod output_lengths;
mod paused_servers;
mod plain_pace;
mod prefill_fit;
mod prefill_observations;
mod prefill_pacer;
mod quantile;
mod removed_servers;
mod request_limit;
mod request_permits;
mod requested_pause;
mod server;
mod service_time;
mod service_times;
mod share_ceiling;
mod token_rate;

use std::collections::BTreeMap;
use std::mem;

use filbertcleat_base::ModelName;
use filbertcleat_base::MonoTime;
use filbertcleat_base::ServiceName;
use filbertcleat_base::mix_hashes;

pub use self::attempt_outcome::AttemptOutcome;
use self::engine_model::EngineModel;
use self::former_versions::FormerVersions;
pub use self::limit_source::LimitSource;
use self::listing_grace::ListingGrace;
use self::missing_servers::MissingServers;
pub use self::named_limit::NamedLimit;
pub use self::output_estimate::OutputEstimate;
use self::output_lengths::OutputLengths;
use self::paused_servers::PausedServers;
use self::prefill_fit::ObservationFilter;
pub use self::prefill_observations::PrefillObservations;
pub(crate) use self::prefill_pacer::PrefillPacer;
pub(crate) use self::quantile::Quantile;
use self::removed_servers::RemovedServers;
pub use self::request_limit::RequestLimit;
pub use self::requested_pause::RequestedPause;
pub use self::server::Server;
pub(crate) use self::service_time::ServiceTime;
use self::service_times::ServiceTimes;
use crate::AgentUpdate;
use crate::CrashEvidence;
use crate::CrashMark;
use crate::Fact;
use crate::LeavingMark;
use crate::ListedServer;
use crate::ListingChange;
use crate::RequestDemand;
use crate::RetryBudget;
use crate::ServerId;
use crate::ServiceObservations;
use crate::SharedFacts;
use crate::SoftwareVersion;
use crate::UpdateRecipients;

/// All backend servers that an entry knows from the catalogue.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    servers: BTreeMap<ServerId, Server>,
    /// Servers that are missing in the catalogue after a loss, and are used for now.
    missing: MissingServers,
    grace: ListingGrace,
    /// Servers that left, whose records a restored catalogue may list again.
    removed: RemovedServers,
    former_versions: FormerVersions,
    has_unseen_removal: bool,
    facts: SharedFacts,
    paused: PausedServers,
    /// What the engines of each service have shown.
    models: BTreeMap<ServiceName, EngineModel>,
    /// The response times of the routes to services without engines.
    service_times: ServiceTimes,
    /// The output lengths of the streams of each service.
    outputs: BTreeMap<ServiceName, OutputLengths>,
    total_attempts: u64,
    /// The number of live entries when a server last named a limit.
    last_live_entries: Option<u32>,
    /// The seed of what has to differ between entries.
    seed: u64,
}

impl Fleet {
    /// Creates a fleet without servers. The seed must differ between entries.
    pub fn with_seed(seed: u64) -> Self {
        Self { seed, ..Self::default() }
    }

    /// Applies a change of the catalogue's list of backend servers.
    pub fn apply_listing(&mut self, now: MonoTime, change: ListingChange) {
        match change {
            ListingChange::Snapshot(list) => {
                let missing: Vec<_> = self
                    .servers
                    .keys()
                    .filter(|id| !list.iter().any(|listed| listed.id == **id))
                    .cloned()
                    .collect();
                let (leftovers, current): (Vec<_>, Vec<_>) =
                    list.into_iter().partition(|listed| self.removed.is_leftover(now, listed));
                self.removed.hold_back(leftovers);
                for listed in current {
                    self.upsert(now, listed);
                }
                for id in missing {
                    self.remove(now, &id);
                }
            }
            ListingChange::Upserted(listed) => {
                if self.grace.is_in_force(now) {
                    self.missing.on_written(&listed.id);
                }
                self.upsert(now, listed);
            }
            ListingChange::Removed(id) => {
                let is_known = self.servers.contains_key(&id) || self.removed.is_known(now, &id);
                self.has_unseen_removal |= !is_known;
                self.remove(now, &id);
            }
            ListingChange::Invalid(id) => self.remove(now, &id),
        }
    }

    /// Returns whether a backend server was removed since the last call that had not been listed
    /// here, so that its software version is unknown.
    pub fn take_unseen_removal(&mut self) -> bool {
        mem::take(&mut self.has_unseen_removal)
    }

    /// Records that a call for the list has failed. A process is in touch with the catalogue again
    /// `contact_ms` after a loss.
    pub fn on_catalogue_lost(&mut self, now: MonoTime, contact_ms: u64) {
        self.grace.on_failed(now, contact_ms);
    }

    /// Records that the catalogue responds again after failed calls.
    pub fn on_catalogue_regained(&mut self, now: MonoTime) {
        self.grace.on_regained(now);
    }

    /// Records that the catalogue was restored from a copy, which may lack the records of servers
    /// and list older ones. A server that leaves has to be known `draining_ms` later.
    pub fn on_catalogue_restored(&mut self, now: MonoTime, contact_ms: u64, draining_ms: u64) {
        self.removed.on_restored(now);
        self.grace.on_restored(now, contact_ms, draining_ms);
    }

    /// Records that the changes of a call for the list have been applied which began at `began_at`.
    pub fn on_listing_read(&mut self, now: MonoTime, began_at: MonoTime) {
        self.grace.on_read(began_at);
        self.expire_unlisted(now);
    }

    /// Returns whether servers are used that are missing in the catalogue.
    pub fn has_unlisted(&self) -> bool {
        !self.missing.is_empty()
    }

    /// Adds the backend servers that left before a restore and whose records have stayed in the
    /// catalogue for so long that they must be live.
    pub fn list_held_back(&mut self, now: MonoTime) {
        for listed in self.removed.take_lasting(now) {
            self.upsert(now, listed);
        }
    }

    /// Removes the backend servers whose records are missing and whose grace time has ended, or that
    /// did not write their records although most others have done so since.
    pub fn expire_unlisted(&mut self, now: MonoTime) {
        let expired = if self.grace.is_in_force(now) {
            self.missing.take_outlived(self.servers.len().saturating_sub(1))
        } else {
            self.missing.take()
        };
        for id in expired {
            self.take_out(now, &id);
        }
    }

    /// Applies an agent's update about its engine.
    pub fn apply_update(&mut self, now: MonoTime, update: AgentUpdate) {
        if let Some(server) = self.servers.get_mut(&update.server) {
            server.apply_update(now, update);
        }
    }

    /// Records that one start of a backend server has announced that it is leaving. From then on it
    /// gets no requests, whatever the catalogue says. Returns the facts that are new.
    pub fn on_leaving(&mut self, now: MonoTime, id: &ServerId, started_unix_ms: u64) -> Vec<Fact> {
        let server = id.clone();
        self.merge_believed(
            now,
            &[Fact::Leaving(LeavingMark { server, started_unix_ms, age_ms: 0 })],
        )
    }

    /// Applies the facts of other processes, except those about starts of servers after
    /// `start_max_unix_ms` that the catalogue has not listed. Returns those that are new.
    pub fn merge_facts(
        &mut self,
        now: MonoTime,
        facts: &[Fact],
        start_max_unix_ms: u64,
    ) -> Vec<Fact> {
        let is_believed = |fact: &&Fact| {
            let server = fact.server().and_then(|id| self.servers.get(id));
            let listed_unix_ms = server.map_or(0, |server| server.listed.started_unix_ms);
            fact.is_believable(start_max_unix_ms.max(listed_unix_ms))
        };
        let believed: Vec<Fact> = facts.iter().filter(is_believed).cloned().collect();
        self.merge_believed(now, &believed)
    }

    fn merge_believed(&mut self, now: MonoTime, facts: &[Fact]) -> Vec<Fact> {
        let news = self.facts.merge(now, facts);
        for fact in &news {
            let Fact::Leaving(mark) = fact else { continue };
            if let Some(server) = self.servers.get_mut(&mark.server) {
                let started_unix_ms = server.listed.started_unix_ms;
                server.has_announced_leaving = self.facts.is_leaving(&mark.server, started_unix_ms);
            }
        }
        news
    }

    /// Changes the crash evidence by what this entry has seen itself. Returns the facts that are
    /// new.
    pub fn change_crashes(
        &mut self,
        change: impl FnOnce(&mut CrashEvidence) -> Vec<CrashMark>,
    ) -> Vec<Fact> {
        self.facts.change_crashes(change)
    }

    /// Returns what this entry has learned and told other processes, or was told.
    pub fn facts(&self) -> &SharedFacts {
        &self.facts
    }

    /// Records that a backend server asked for a pause. It gets no requests for that time, whatever
    /// the catalogue says, and is not considered faulty. Returns the time in milliseconds.
    pub fn on_pause_requested(
        &mut self,
        now: MonoTime,
        id: &ServerId,
        requested: RequestedPause,
    ) -> u64 {
        let pause_ms = requested.bounded_ms();
        self.paused.record(now, id, pause_ms);
        if let Some(server) = self.servers.get_mut(id) {
            server.paused_until = self.paused.until(id);
        }
        pause_ms
    }

    /// Records what an answer of a backend server, or of its engine to an agent, says about its
    /// limit. Returns whether that changed.
    pub fn on_limit(
        &mut self,
        now: MonoTime,
        id: &ServerId,
        source: LimitSource,
        named: NamedLimit,
    ) -> bool {
        let is_limited = self.server(id).is_some_and(Server::is_limited);
        match named {
            NamedLimit::Untold => return false,
            NamedLimit::Absent if !is_limited => return false,
            NamedLimit::Absent | NamedLimit::Named(_) | NamedLimit::Unreadable => {}
        }
        if let Some(entries) = self.live_entries(now) {
            self.last_live_entries = Some(entries);
        }
        let entries = self.last_live_entries.unwrap_or(RetryBudget::DEFAULT_ENTRIES);
        let seed = self.seed;
        let Some(server) = self.servers.get_mut(id) else { return false };
        server.on_limit(now, source, named, entries, seed)
    }

    /// Records that a request is sent to a backend server. Returns the time that the server needs
    /// for the prompts ahead of it, in milliseconds.
    pub fn on_sent(&mut self, now: MonoTime, id: &ServerId, demand: &RequestDemand) -> f64 {
        self.total_attempts += 1;
        let output = self.output_estimate(demand);
        let Some(server) = self.servers.get_mut(id) else { return 0.0 };
        if demand.is_plain() {
            let median_ms = self.service_times.get(demand).map(ServiceTime::median_ms);
            server.plain.on_sent(now, median_ms);
        }
        server.on_sent(now, demand, output)
    }

    /// Returns whether the entries are so many that they do not learn of each other's prompts at once.
    /// Then agents decide when prompts are sent, and entries tell each other what they observe.
    pub fn agents_assign_turns(&self, now: MonoTime) -> bool {
        self.live_entries(now)
            .is_some_and(|entries| !UpdateRecipients::are_all_prompt(entries as usize))
    }

    /// Records that the agent of a backend server lets the next prompt be sent only after a delay.
    pub fn on_turn_delayed(&mut self, now: MonoTime, id: &ServerId, delay_ms: u64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.on_turn_delayed(now, delay_ms);
        }
    }

    /// Records that the agent of a backend server has no room for a prompt that this entry counts as
    /// sent. The request is placed anew.
    pub fn on_turn_refused(&mut self, now: MonoTime, id: &ServerId, demand: &RequestDemand) {
        self.on_ended(now, id, demand, AttemptOutcome::Left);
        if let Some(server) = self.servers.get_mut(id) {
            server.on_turn_refused(now, demand);
        }
    }

    /// Records that the response to a request began `wait_ms` after the request was sent, with
    /// `backlog_ms` of prompts ahead of it.
    pub fn on_response_started(
        &mut self,
        now: MonoTime,
        id: &ServerId,
        demand: &RequestDemand,
        wait_ms: u64,
        backlog_ms: f64,
    ) {
        let filter = if self.agents_assign_turns(now) {
            ObservationFilter::Undelayed
        } else {
            ObservationFilter::All
        };
        let Some(server) = self.servers.get_mut(id) else { return };
        let kept_tokens = server.kept_tokens(now, demand);
        let idle_wait_ms = server.on_response_started(now, demand, wait_ms, backlog_ms, filter);
        if demand.prompt_tokens == 0 || filter.leaves_out(backlog_ms) {
            return;
        }
        self.learn(&demand.service, |model| {
            model.observe_response(demand.prompt_tokens, kept_tokens, idle_wait_ms, filter);
        });
    }

    /// Records that a server without an engine answered a request in full that was sent to it at
    /// `sent_at`. Streams say nothing of the service time and are passed over.
    pub fn on_plain_answered(
        &mut self,
        now: MonoTime,
        id: &ServerId,
        demand: &RequestDemand,
        sent_at: MonoTime,
    ) {
        if !demand.is_plain() {
            return;
        }
        let Some(server) = self.servers.get_mut(id) else { return };
        let response_ms = now.since(sent_at).as_secs_f64() * 1_000.0;
        let times = self.service_times.get(demand);
        let median_ms = times.map_or(response_ms, ServiceTime::median_ms);
        let error = server.plain.on_answered(now, sent_at, median_ms);
        self.service_times.observe(demand, response_ms, error);
    }

    /// Returns the expected response time of a request at a server without an engine, once enough
    /// responses of its route are known.
    pub fn expected_response_ms(
        &self,
        now: MonoTime,
        id: &ServerId,
        demand: &RequestDemand,
    ) -> Option<f64> {
        let times = self.service_times.get(demand).filter(|times| times.is_settled())?;
        Some(self.servers.get(id)?.plain.expected_ms(now, times.median_ms()))
    }

    /// Records the number of events of a stream that was read from its first event to its end.
    pub fn on_stream_complete(&mut self, demand: &RequestDemand, events: u32) {
        let outputs = self.outputs.entry(demand.service.clone());
        outputs.or_insert_with(OutputLengths::new).observe(demand, events);
    }

    /// Returns the expected output length of a request, once enough streams are known.
    pub fn output_estimate(&self, demand: &RequestDemand) -> Option<OutputEstimate> {
        self.outputs.get(&demand.service)?.estimate(demand)
    }

    /// Returns the factors between output lengths of a service and their estimates, in either
    /// direction, which half and nine tenths of the streams do not exceed.
    pub fn output_error_factors(&self, service: &ServiceName) -> Option<(f64, f64)> {
        Some(self.outputs.get(service)?.error_factors())
    }

    /// Returns the response time of a request's route at servers without engines that one of a
    /// hundred responses exceeds, and the median factor between responses and estimates.
    pub fn response_spread(&self, demand: &RequestDemand) -> Option<(f64, f64)> {
        let times = self.service_times.get(demand).filter(|times| times.is_settled())?;
        Some((times.high_ms(), times.error_factor()))
    }

    /// Returns the learned response times of a request's route if slow servers may make its
    /// responses late.
    pub(crate) fn times_at_risk(&self, demand: &RequestDemand) -> Option<&ServiceTime> {
        let times = self.service_times.get(demand).filter(|_| demand.is_plain())?;
        times.is_at_risk(demand.latency_objective_ms).then_some(times)
    }

    /// Returns a number that differs between entries and between the requests of an entry.
    pub(crate) fn draw(&self) -> u64 {
        mix_hashes(self.seed, self.total_attempts)
    }

    /// Records the outcome of a request that was sent to a backend server.
    pub fn on_ended(
        &mut self,
        now: MonoTime,
        id: &ServerId,
        demand: &RequestDemand,
        outcome: AttemptOutcome,
    ) {
        let output = self.output_estimate(demand);
        if let Some(server) = self.servers.get_mut(id) {
            server.on_ended(now, demand, output, outcome);
        }
    }

    /// Records that bytes of a response arrived from a backend server, `gap_ms` after the previous
    /// ones.
    pub fn on_bytes_received(
        &mut self,
        now: MonoTime,
        id: &ServerId,
        demand: &RequestDemand,
        gap_ms: u64,
    ) {
        let Some(server) = self.servers.get_mut(id) else { return };
        if let Some(has_long_gap) = server.on_bytes_received(now, demand, gap_ms) {
            self.learn(&demand.service, |model| model.observe_full_share(has_long_gap));
        }
    }

    /// Returns what this entry has observed of the engines of each service.
    pub fn own_observations(&self) -> impl Iterator<Item = ServiceObservations> {
        self.models.iter().map(|(service, model)| ServiceObservations {
            service: service.clone(),
            prefill: model.line.own_observations(),
        })
    }

    /// Sets what the other entries have observed of a service's engines.
    pub fn set_others_observations(&mut self, others: &ServiceObservations) {
        self.learn(&others.service, |model| model.line.set_others(others.prefill));
    }

    /// Returns the number of requests that this entry has ever sent to backend servers.
    pub fn total_attempts(&self) -> u64 {
        self.total_attempts
    }

    /// Returns the backend servers in the order of their ids.
    pub fn servers(&self) -> impl ExactSizeIterator<Item = &Server> {
        self.servers.values()
    }

    /// Returns the backend servers that run a request's service with a software version that may
    /// serve it, and are not leaving.
    pub fn candidates_for(&self, demand: &RequestDemand) -> impl Iterator<Item = &Server> {
        self.servers().filter(|server| {
            server.listed.service == demand.service
                && !server.is_leaving()
                && demand.allows_software(&server.listed.software_version)
        })
    }

    /// Returns the software versions of a service's backend servers, of those too that were removed
    /// within the last minute, with the times in milliseconds since a server of each was listed.
    pub fn software_versions(
        &self,
        now: MonoTime,
        service: &ServiceName,
    ) -> BTreeMap<SoftwareVersion, u64> {
        let mut versions = self.former_versions.of(now, service);
        for server in self.servers().filter(|server| server.listed.service == *service) {
            versions.insert(server.listed.software_version.clone(), 0);
        }
        versions
    }

    /// Returns whether a backend server of a service is listed.
    pub fn lists_service(&self, service: &ServiceName) -> bool {
        self.servers().any(|server| server.listed.service == *service)
    }

    /// Returns the candidates for a request that have loaded its model.
    pub fn servers_for(&self, demand: &RequestDemand) -> impl Iterator<Item = &Server> {
        self.candidates_for(demand)
            .filter(|server| demand.model.as_ref().is_none_or(|model| server.has_model(model)))
    }

    /// Returns the backend server with an id.
    pub fn server(&self, id: &ServerId) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns the learned prefill time per prompt token at the engines of a service.
    pub fn ms_per_prompt_token(&self, service: &ServiceName) -> f64 {
        let model = self.models.get(service).copied().unwrap_or_else(EngineModel::new);
        model.line.ms_per_token()
    }

    /// Returns the number of engines that have loaded a base model or are loading it.
    pub fn engines_with_model(&self, model: &ModelName) -> u32 {
        let engines = self.servers().filter(|server| {
            !server.is_leaving() && (server.has_model(model) || server.is_loading_model(model))
        });
        u32::try_from(engines.count()).unwrap_or(u32::MAX)
    }

    /// Returns the highest number of live entries in any agent's fresh update, or `None` without
    /// fresh updates.
    pub fn live_entries(&self, now: MonoTime) -> Option<u32> {
        self.servers()
            .filter_map(|server| server.fresh_update(now))
            .map(|update| update.live_entries)
            .max()
            .filter(|entries| *entries > 0)
    }

    /// Changes the model of a service's engines and hands the new one to the servers.
    fn learn(&mut self, service: &ServiceName, change: impl FnOnce(&mut EngineModel)) {
        let model = self.models.entry(service.clone()).or_insert_with(EngineModel::new);
        change(model);
        for server in self.servers.values_mut() {
            if server.listed.service == *service {
                server.set_model(*model);
            }
        }
    }

    fn upsert(&mut self, now: MonoTime, listed: ListedServer) {
        self.missing.remove(&listed.id);
        let limits = self.removed.limits_of(&listed.id, listed.started_unix_ms);
        self.removed.forget(&listed.id);
        let has_announced_leaving = self.facts.is_leaving(&listed.id, listed.started_unix_ms);
        let paused_until = self.paused.until(&listed.id);
        let id = listed.id.clone();
        if let Some(server) = self.servers.get_mut(&id) {
            let is_earlier_start = listed.started_unix_ms < server.listed.started_unix_ms;
            if is_earlier_start && self.removed.may_list_leftovers(now) {
                return;
            }
            self.former_versions.on_replaced(now, &server.listed, &listed);
            server.apply_listing(now, listed);
            server.has_announced_leaving = has_announced_leaving;
            server.paused_until = paused_until;
            return;
        }
        let model = self.models.get(&listed.service).copied().unwrap_or_else(EngineModel::new);
        let mut server = Server::new(now, listed, model);
        server.has_announced_leaving = has_announced_leaving;
        server.paused_until = paused_until;
        if let Some(limits) = limits {
            server.limits = limits;
        }
        self.servers.insert(id, server);
    }

    fn remove(&mut self, now: MonoTime, id: &ServerId) {
        if self.grace.is_in_force(now) && self.servers.contains_key(id) {
            self.missing.insert(id.clone());
            return;
        }
        self.take_out(now, id);
    }

    fn take_out(&mut self, now: MonoTime, id: &ServerId) {
        self.missing.remove(id);
        self.removed.release(id);
        if let Some(server) = self.servers.remove(id) {
            self.removed.on_removed(now, &server);
            self.former_versions.on_removed(now, &server.listed);
        }
    }
}
