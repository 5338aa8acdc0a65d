//! What an entry tells agents and hears from them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use filbertcleat_base::ModelName;
use filbertcleat_base::MonoTime;
use filbertcleat_base::ServiceName;
use filbertcleat_serve::AdapterDemand;
use filbertcleat_serve::Deployment;
use filbertcleat_serve::EntryUpdate;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::ModelDemand;
use filbertcleat_serve::ServerId;

use super::state::Entry;
use super::state::State;
use crate::Dialect;
use crate::exchange::News;
use crate::exchange::sender_id;

/// An entry speaks to each agent at least this often; agents take it for gone after 3,000 ms.
const TELL_AT_LEAST_MS: u64 = 900;
/// The same while it uses or wants something there: what it uses is dropped by nobody.
const TELL_USES_MS: u64 = 400;
/// New wants and sent prompts are told at once, but not more often than this.
const TELL_NEWS_MS: u64 = 1;
/// What is told at intervals is looked for at this pace, as a look goes over all backend servers.
const TELL_LOOK_MS: u64 = 50;
/// The work for base models is counted at this pace: agents decide on it once a second.
const COUNT_MODELS_MS: u64 = 500;

/// What has been told to agents.
pub(super) struct Told {
    entry: u64,
    sequence: u64,
    servers: HashMap<ServerId, Said>,
    /// The work for base models and their engines, by service.
    models: BTreeMap<ServiceName, Vec<ModelDemand>>,
    models_at: Option<MonoTime>,
    looked: Option<Look>,
}

/// The state of the entry at the last look for what is to be told.
#[derive(Clone, Copy, Debug)]
struct Look {
    at: MonoTime,
    sends: u64,
    is_any_waiting: bool,
}

impl Told {
    pub fn new() -> Self {
        Self {
            entry: sender_id(),
            sequence: 0,
            servers: HashMap::new(),
            models: BTreeMap::new(),
            models_at: None,
            looked: None,
        }
    }

    /// Returns whether anything new may be to be told, or it is time for what is told at intervals.
    fn is_look_due(&mut self, look: Look) -> bool {
        let is_due = self.looked.is_none_or(|last| {
            last.sends != look.sends
                || last.is_any_waiting
                || look.is_any_waiting
                || look.at.ms_since(last.at) >= TELL_LOOK_MS
        });
        if is_due {
            self.looked = Some(look);
        }
        is_due
    }

    /// Counts anew the work for base models and the engines that hold them, if it is time.
    fn count_models(
        &mut self,
        now: MonoTime,
        deployment: &Deployment,
        fleet: &Fleet,
        work: &BTreeMap<ModelName, u32>,
    ) {
        if self.models_at.is_some_and(|at| now.ms_since(at) < COUNT_MODELS_MS) {
            return;
        }
        self.models_at = Some(now);
        self.models.clear();
        for (name, service) in &deployment.services {
            let Some(engine) = &service.engine else { continue };
            let models = engine.models.iter().map(|model| ModelDemand {
                model: model.name.clone(),
                recent_requests: work.get(&model.name).copied().unwrap_or(0),
                engines: fleet.engines_with_model(&model.name),
            });
            self.models.insert(name.clone(), models.collect());
        }
    }
}

/// What an agent was told last.
struct Said {
    at: MonoTime,
    wants: Vec<AdapterDemand>,
    sent_tokens: u64,
    has_uses: bool,
}

/// Hears agents for as long as the process runs.
pub(super) async fn hear_agents<D: Dialect>(entry: Rc<Entry<D>>) {
    let mut buffer = Vec::new();
    loop {
        let (news, from) = entry.exchange.receive(&mut buffer).await;
        let News::Agent(mut news) = news else { continue };
        let now = entry.now();
        let fleet = &mut entry.state.borrow_mut().fleet;
        if news.server.as_str().is_empty() {
            // An engine that does not name itself is the one at its agent's address.
            let beside = fleet.servers().find(|server| server.listed.address.ip() == from.ip());
            let Some(beside) = beside else { continue };
            news.server = beside.listed.id.clone();
        }
        fleet.apply_update(now, news);
        entry.changed.notify_one();
    }
}

/// Tells each agent whose turn it is what this entry wants and uses.
pub(super) fn tell_agents<D: Dialect>(entry: &Entry<D>) {
    let now = entry.now();
    let state = &mut *entry.state.borrow_mut();
    let look =
        Look { at: now, sends: state.fleet.total_sends(), is_any_waiting: !state.queue.is_empty() };
    if !state.told.is_look_due(look) {
        return;
    }
    for (to, news) in due_news(now, state, entry.settings.peer_port) {
        entry.exchange.send(to, &News::Entry(news));
    }
}

fn due_news<D: Dialect>(
    now: MonoTime,
    state: &mut State<D>,
    port: u16,
) -> Vec<(SocketAddr, EntryUpdate)> {
    let Some(deployment) = state.deployment.clone() else { return Vec::new() };
    let mut due = Vec::new();
    state.told.count_models(now, &deployment, &state.fleet, &state.demand);
    for server in state.fleet.servers() {
        let shape = deployment.services.get(&server.listed.service);
        let Some(shape) = shape.and_then(|service| service.engine.as_ref()) else { continue };
        let wants = state.queue.adapter_demand(&server.listed.id);
        let last = state.told.servers.get(&server.listed.id);
        let sent_tokens = server.sent_prompt_tokens();
        let is_due = last.is_none_or(|said| {
            let since_ms = now.ms_since(said.at);
            let is_new = said.wants != wants || said.sent_tokens != sent_tokens;
            let has_uses =
                said.has_uses || server.adapters_in_use().next().is_some() || !wants.is_empty();
            let at_least_ms = if has_uses { TELL_USES_MS } else { TELL_AT_LEAST_MS };
            since_ms >= at_least_ms || (is_new && since_ms >= TELL_NEWS_MS)
        });
        if !is_due {
            continue;
        }
        state.told.sequence += 1;
        let news = EntryUpdate {
            entry: state.told.entry,
            sequence: state.told.sequence,
            server: server.listed.id.clone(),
            adapter_demand: wants.clone(),
            adapters_in_use: server
                .adapters_in_use()
                .map(|(key, count)| (key.clone(), count))
                .collect(),
            engine_spec: Some(shape.clone()),
            model_demand: state
                .told
                .models
                .get(&server.listed.service)
                .cloned()
                .unwrap_or_default(),
            sent_prompt_tokens: sent_tokens,
        };
        let has_uses = !news.adapters_in_use.is_empty();
        due.push((SocketAddr::new(server.listed.address.ip(), port), news));
        state
            .told
            .servers
            .insert(server.listed.id.clone(), Said { at: now, wants, sent_tokens, has_uses });
    }
    if state.told.servers.len() > state.fleet.servers().len() {
        state.told.servers.retain(|id, _| state.fleet.server(id).is_some());
    }
    due
}
