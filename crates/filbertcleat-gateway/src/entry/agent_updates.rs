//! Sends the updates of an entry to agents and applies the updates of agents.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use filbertcleat_base::ModelName;
use filbertcleat_base::MonoTime;
use filbertcleat_base::ServiceName;
use filbertcleat_serve::AdapterDemand;
use filbertcleat_serve::AgentUpdate;
use filbertcleat_serve::Deployment;
use filbertcleat_serve::EntryUpdate;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::ModelDemand;
use filbertcleat_serve::Server;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::ServiceObservations;

use super::allowances::on_allowance_message;
use super::facts::holders;
use super::facts::on_facts;
use super::notices::NoticeSource;
use super::notices::apply_notice;
use super::origins::on_origin_reply;
use super::prompt_turns::on_turn_reply;
use super::state::Entry;
use super::state::State;
use crate::Dialect;
use crate::ServerNotice;
use crate::peer_socket::PeerUpdate;

/// The longest interval between two updates to an agent. Agents consider an entry gone after
/// 3,000 ms without one.
const UPDATE_INTERVAL_MS: u64 = 900;
/// The longest interval while the entry uses or demands adapters of the engine. Agents do not
/// unload an adapter that an entry reports as in use.
const USE_UPDATE_INTERVAL_MS: u64 = 400;
/// The shortest interval between two updates. New demand and newly sent prompts are reported at
/// once, but not more often than this.
const UPDATE_INTERVAL_MIN_MS: u64 = 1;
/// The longest interval between two scans for due updates, which go over all backend servers.
const SCAN_INTERVAL_MS: u64 = 50;
/// The shortest interval between two digests to an agent, which leaves time for its facts to arrive.
const DIGEST_INTERVAL_MS: u64 = 300;
/// The interval at which the entry tells what it has observed of the engines, to one agent each time.
const OBSERVATIONS_INTERVAL_MS: u64 = 300;
/// The interval at which the demand for base models is counted. Agents use it once a second.
const MODEL_DEMAND_INTERVAL_MS: u64 = 500;

/// The updates that were sent to agents, from which the due ones are determined.
pub(super) struct AgentUpdateState {
    /// The id of this incarnation of the entry.
    entry: u64,
    sequence: u64,
    servers: HashMap<ServerId, LastUpdate>,
    /// The demand for base models and the number of their engines, by service.
    model_demand: BTreeMap<ServiceName, Vec<ModelDemand>>,
    model_demand_at: Option<MonoTime>,
    /// The agents that hold the facts of all entries.
    digest_receivers: Vec<SocketAddr>,
    digest_receivers_at: Option<MonoTime>,
    observations_at: Option<MonoTime>,
    last_scan: Option<ScanState>,
}

/// The state of the entry at a scan for due updates.
#[derive(Clone, Copy, Debug)]
struct ScanState {
    at: MonoTime,
    total_attempts: u64,
    has_queued_requests: bool,
}

impl AgentUpdateState {
    /// Creates the state of an entry that has sent nothing yet.
    pub fn new(entry: u64) -> Self {
        Self {
            entry,
            sequence: 0,
            servers: HashMap::new(),
            model_demand: BTreeMap::new(),
            model_demand_at: None,
            digest_receivers: Vec::new(),
            digest_receivers_at: None,
            observations_at: None,
            last_scan: None,
        }
    }

    /// Returns the agents that hold the facts of all entries, as they were last chosen.
    pub fn fact_holders(&self) -> &[SocketAddr] {
        &self.digest_receivers
    }

    /// Returns whether an update may be due: something may have changed since the last scan, or the
    /// scan interval has passed.
    fn is_scan_due(&mut self, scan: ScanState) -> bool {
        let is_due = self.last_scan.is_none_or(|last| {
            last.total_attempts != scan.total_attempts
                || last.has_queued_requests
                || scan.has_queued_requests
                || scan.at.ms_since(last.at) >= SCAN_INTERVAL_MS
        });
        if is_due {
            self.last_scan = Some(scan);
        }
        is_due
    }

    /// Chooses the agents that get digests, once per interval.
    fn choose_digest_receivers(&mut self, now: MonoTime, fleet: &Fleet, port: u16) {
        if self.digest_receivers_at.is_some_and(|at| now.ms_since(at) < DIGEST_INTERVAL_MS) {
            return;
        }
        self.digest_receivers_at = Some(now);
        self.digest_receivers = holders(fleet, port);
    }

    /// Recomputes the demand for base models and the number of their engines, once per interval.
    fn count_model_demand(
        &mut self,
        now: MonoTime,
        deployment: &Deployment,
        fleet: &Fleet,
        recent_requests: &BTreeMap<ModelName, u32>,
    ) {
        if self.model_demand_at.is_some_and(|at| now.ms_since(at) < MODEL_DEMAND_INTERVAL_MS) {
            return;
        }
        self.model_demand_at = Some(now);
        self.model_demand.clear();
        for (name, service) in &deployment.services {
            let Some(engine) = &service.engine else { continue };
            let models = engine.models.iter().map(|model| ModelDemand {
                model: model.name.clone(),
                recent_requests: recent_requests.get(&model.name).copied().unwrap_or(0),
                engines: fleet.engines_with_model(&model.name),
            });
            self.model_demand.insert(name.clone(), models.collect());
        }
    }
}

/// The content of the last update to an agent.
struct LastUpdate {
    at: MonoTime,
    adapter_demand: Vec<AdapterDemand>,
    sent_prompt_tokens: u64,
    uses_adapters: bool,
    digest_at: Option<MonoTime>,
}

/// Applies the updates of agents for as long as the process runs.
pub(super) async fn receive_agent_updates<D: Dialect>(entry: Rc<Entry<D>>) {
    let mut buffer = Vec::new();
    loop {
        let (update, from) = entry.peers.receive(&mut buffer).await;
        let mut update = match update {
            PeerUpdate::Agent(update) => update,
            PeerUpdate::OriginReply(request, origin) => {
                on_origin_reply(&entry, from, request, origin);
                continue;
            }
            PeerUpdate::Facts { facts, is_complete } => {
                on_facts(&entry, from, &facts, is_complete);
                continue;
            }
            PeerUpdate::Allowance(message) => {
                on_allowance_message(&entry, from, &message);
                continue;
            }
            PeerUpdate::Observations { entry: of, services } => {
                on_observations(&entry, of, &services);
                continue;
            }
            PeerUpdate::PromptTurnReply { turn, reply } => {
                on_turn_reply(&entry, turn, reply);
                continue;
            }
            PeerUpdate::Entry(_)
            | PeerUpdate::Origin(_)
            | PeerUpdate::OriginQuery(_)
            | PeerUpdate::PromptTurn { .. } => {
                log::debug!("event=news-unexpected peer={from}");
                continue;
            }
        };
        let engine = find_engine(&entry.state.borrow(), from, &update.server);
        let Some((server, started_unix_ms)) = engine else {
            log::debug!("event=news-unexpected peer={from} server={}", update.server);
            continue;
        };
        apply_agent_notice(&entry, &update, started_unix_ms);
        update.server = server;
        let now = entry.now();
        entry.state.borrow_mut().fleet.apply_update(now, update);
        entry.dispatcher_wakeup.notify_one();
    }
}

/// Returns the engine that an agent's update is about, and the Unix time of its start in
/// milliseconds. Returns `None` if the update can't be from the agent beside that engine; servers of
/// services without engines have no agents.
fn find_engine<D: Dialect>(
    state: &State<D>,
    from: SocketAddr,
    id: &ServerId,
) -> Option<(ServerId, u64)> {
    let deployment = state.deployment.get()?;
    let is_beside = |server: &&Server| {
        let service = deployment.services.get(&server.listed.service);
        server.listed.address.ip() == from.ip()
            && service.is_some_and(|service| service.engine.is_some())
    };
    let engine = if id.as_str().is_empty() {
        // An engine that reports no id is the last one that started at the IP address of its agent:
        // the record of an earlier start may still be listed.
        let beside = state.fleet.servers().filter(is_beside);
        beside.max_by_key(|server| server.listed.started_unix_ms)
    } else {
        state.fleet.server(id).filter(is_beside)
    };
    engine.map(|server| (server.listed.id.clone(), server.listed.started_unix_ms))
}

/// Applies what an engine announced to its agent. A pause concerns the agent only.
///
/// Without the engine's id the announcement holds only until the agent's next update: the engine
/// at that address may have started again under another id.
fn apply_agent_notice<D: Dialect>(entry: &Entry<D>, update: &AgentUpdate, started_unix_ms: u64) {
    if update.server.as_str().is_empty() {
        return;
    }
    let AgentUpdate { is_leaving, limit, .. } = *update;
    let notice = ServerNotice { is_leaving, limit, ..ServerNotice::default() };
    apply_notice(entry, &update.server, started_unix_ms, notice, NoticeSource::Agent);
}

/// Sends an update to each agent for which one is due.
pub(super) fn update_agents<D: Dialect>(entry: &Entry<D>) {
    let now = entry.now();
    let state = &mut *entry.state.borrow_mut();
    let scan = ScanState {
        at: now,
        total_attempts: state.fleet.total_attempts(),
        has_queued_requests: !state.queue.is_empty(),
    };
    if !state.agent_updates.is_scan_due(scan) {
        return;
    }
    if let Some((to, update)) = due_observations(now, state) {
        entry.peers.send(to, &update);
    }
    for (to, update) in due_updates(now, state, entry.settings.peer_port) {
        entry.peers.send(to, &PeerUpdate::Entry(update));
    }
}

/// Returns the observations for the agent whose turn it is, if they are due. Each of the agents that
/// hold what all entries know gets them in turn.
fn due_observations<D: Dialect>(
    now: MonoTime,
    state: &mut State<D>,
) -> Option<(SocketAddr, PeerUpdate)> {
    let updates = &mut state.agent_updates;
    let is_recent =
        updates.observations_at.is_some_and(|at| now.ms_since(at) < OBSERVATIONS_INTERVAL_MS);
    if is_recent || !state.fleet.agents_assign_turns(now) {
        return None;
    }
    let turn = now.ms_since(MonoTime::ZERO) / OBSERVATIONS_INTERVAL_MS;
    let receivers = &updates.digest_receivers;
    let to = *receivers.get((turn % receivers.len().max(1) as u64) as usize)?;
    updates.observations_at = Some(now);
    let services = state.fleet.own_observations().collect();
    Some((to, PeerUpdate::Observations { entry: updates.entry, services }))
}

/// Applies what all other entries have observed.
fn on_observations<D: Dialect>(entry: &Entry<D>, of: u64, services: &[ServiceObservations]) {
    let state = &mut *entry.state.borrow_mut();
    if of != state.agent_updates.entry {
        return;
    }
    for observations in services.iter().filter(|observations| observations.prefill.is_valid()) {
        state.fleet.set_others_observations(observations);
    }
    entry.dispatcher_wakeup.notify_one();
}

/// Returns the updates that are due, with the addresses of their agents, and records them as sent.
fn due_updates<D: Dialect>(
    now: MonoTime,
    state: &mut State<D>,
    port: u16,
) -> Vec<(SocketAddr, EntryUpdate)> {
    let Some(deployment) = state.deployment.get().cloned() else { return Vec::new() };
    let mut due = Vec::new();
    state.agent_updates.count_model_demand(now, &deployment, &state.fleet, &state.recent_requests);
    let digest = state.fleet.facts().digest();
    state.agent_updates.choose_digest_receivers(now, &state.fleet, port);
    for server in state.fleet.servers() {
        let service = deployment.services.get(&server.listed.service);
        let Some(engine_spec) = service.and_then(|service| service.engine.as_ref()) else {
            continue;
        };
        let adapter_demand = state.queue.adapter_demand(&server.listed.id);
        let last = state.agent_updates.servers.get(&server.listed.id);
        let sent_prompt_tokens = server.sent_prompt_tokens();
        let is_due = last.is_none_or(|last| {
            let since_ms = now.ms_since(last.at);
            let has_changed = last.adapter_demand != adapter_demand
                || last.sent_prompt_tokens != sent_prompt_tokens;
            let uses_adapters = last.uses_adapters
                || server.adapters_in_use().next().is_some()
                || !adapter_demand.is_empty();
            let interval_ms =
                if uses_adapters { USE_UPDATE_INTERVAL_MS } else { UPDATE_INTERVAL_MS };
            since_ms >= interval_ms || (has_changed && since_ms >= UPDATE_INTERVAL_MIN_MS)
        });
        if !is_due {
            continue;
        }
        let to = SocketAddr::new(server.listed.address.ip(), port);
        let mut digest_at = last.and_then(|last| last.digest_at);
        let is_digest_due = state.agent_updates.digest_receivers.contains(&to)
            && digest_at.is_none_or(|at| now.ms_since(at) >= DIGEST_INTERVAL_MS);
        if is_digest_due {
            digest_at = Some(now);
        }
        state.agent_updates.sequence += 1;
        let update = EntryUpdate {
            entry: state.agent_updates.entry,
            sequence: state.agent_updates.sequence,
            server: server.listed.id.clone(),
            adapter_demand: adapter_demand.clone(),
            adapters_in_use: server
                .adapters_in_use()
                .map(|(key, count)| (key.clone(), count))
                .collect(),
            engine_spec: Some(engine_spec.clone()),
            facts_digest: is_digest_due.then_some(digest),
            model_demand: state
                .agent_updates
                .model_demand
                .get(&server.listed.service)
                .cloned()
                .unwrap_or_default(),
            sent_prompt_tokens,
        };
        let uses_adapters = !update.adapters_in_use.is_empty();
        due.push((to, update));
        state.agent_updates.servers.insert(
            server.listed.id.clone(),
            LastUpdate { at: now, adapter_demand, sent_prompt_tokens, uses_adapters, digest_at },
        );
    }
    if state.agent_updates.servers.len() > state.fleet.servers().len() {
        state.agent_updates.servers.retain(|id, _| state.fleet.server(id).is_some());
    }
    due
}
