//! Drives the shipped decisions with the stand-ins' timing in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use filbertcleat_base::AdapterRef;
use filbertcleat_base::AttemptId;
use filbertcleat_base::ConfigVersion;
use filbertcleat_base::Fence;
use filbertcleat_base::MonoTime;
use filbertcleat_base::NodeName;
use filbertcleat_base::RequestId;
use filbertcleat_base::ServiceName;
use filbertcleat_config::Limits;
use filbertcleat_config::ObjectiveWeights;
use filbertcleat_config::Policy;
use filbertcleat_fakes::EngineCall;
use filbertcleat_fakes::EngineModel;
use filbertcleat_fakes::WeightStoreModel;
use filbertcleat_policy::Agent;
use filbertcleat_policy::AgentAction;
use filbertcleat_policy::AgentInput;
use filbertcleat_policy::AgentSettings;
use filbertcleat_policy::AttemptEvent;
use filbertcleat_policy::AttemptEventKind;
use filbertcleat_policy::AttemptRequest;
use filbertcleat_policy::CallerRequest;
use filbertcleat_policy::EngineState;
use filbertcleat_policy::Entry;
use filbertcleat_policy::EntryAction;
use filbertcleat_policy::EntryInput;
use filbertcleat_policy::EntrySettings;
use filbertcleat_policy::LoadCoordinator;
use filbertcleat_policy::OutboundAttempt;
use filbertcleat_policy::Priority;
use filbertcleat_policy::ReplicaReport;
use filbertcleat_policy::Target;
use filbertcleat_store::Ownership;

use crate::measure::Measures;
use crate::measure::histogram;
use crate::measure::record;
use crate::trace::Deployment;
use crate::trace::Trace;

/// The time that a message takes.
const HOP_US: u64 = 400;
/// The time between two reports of an agent to all entries.
const REPORT_US: u64 = 300_000;
/// The time between two ticks.
const TICK_US: u64 = 50_000;
/// How long requests may be open after the last arrival.
const GRACE_US: u64 = 7200 * 1_000_000;

/// What a run is made with.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub deployment: Deployment,
    pub policy: Policy,
    pub weights: ObjectiveWeights,
    pub seed: u64,
}

/// A run over one trace.
pub struct Bench<'a> {
    trace: &'a Trace,
    now: MonoTime,
    events: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
    service: ServiceName,
    entries: Vec<Entry>,
    agents: Vec<AgentSim>,
    index: HashMap<NodeName, usize>,
    keeper: LoadCoordinator,
    weights: WeightStoreModel,
    loads: Vec<Loading>,
    loads_changed: u64,
    requests: HashMap<RequestId, Open>,
    attempts: HashMap<AttemptId, RequestId>,
    measures: Measures,
}

/// An agent with its engine.
struct AgentSim {
    name: NodeName,
    core: Agent,
    engine: EngineModel,
    stepping: bool,
    served: HashMap<AdapterRef, u64>,
}

/// A load under way.
struct Loading {
    agent: usize,
    adapter: AdapterRef,
    left: f64,
    updated_us: u64,
}

/// A request that is not answered yet.
struct Open {
    index: usize,
    entry: usize,
    first_token: bool,
    attempts: u32,
}

/// An event with its time; the number keeps the order of events at one time.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct Scheduled {
    at_us: u64,
    sequence: u64,
    event: SimEvent,
}

/// What can happen in a run.
#[derive(Clone, Eq, Ord, PartialEq, PartialOrd)]
enum SimEvent {
    Arrive(usize),
    Offer(usize, AttemptId, u32),
    Step(usize),
    LoadDone(u64),
    Report(usize),
    Tick,
}

impl<'a> Bench<'a> {
    pub fn new(setup: &Setup, trace: &'a Trace) -> Self {
        let spec = Deployment::engine();
        let service: ServiceName = "service".into();
        let overcommit = usize::from(setup.policy == Policy::default());
        let agents: Vec<_> = (0..setup.deployment.replicas())
            .map(|number| {
                let name: NodeName = format!("agent-{number:02}").into();
                let settings = AgentSettings {
                    initial_load_ms: 1000.0 / setup.deployment.loads_per_s(),
                    initial_call_ms: spec.step_time(spec.batch_limit).as_secs_f64()
                        * 1000.0
                        * Trace::TOKENS_MEAN as f64,
                    queue_max: 1_000_000,
                    ..AgentSettings::new(
                        name.clone(),
                        service.clone(),
                        spec.adapter_slots,
                        spec.batch_limit,
                    )
                };
                let core = Agent::new(settings.with_key_account_overcommit(overcommit));
                let engine = EngineModel::new(spec, 1);
                AgentSim { name, core, engine, stepping: false, served: HashMap::new() }
            })
            .collect();
        let entries = (0..Deployment::ENTRIES)
            .map(|number| {
                let node = format!("entry-{number}").into();
                Entry::new(EntrySettings { node, seed: setup.seed + number as u64 })
            })
            .collect();
        let mut bench = Self {
            trace,
            now: MonoTime::from_ms(1),
            events: BinaryHeap::new(),
            sequence: 0,
            service,
            entries,
            index: agents
                .iter()
                .enumerate()
                .map(|(index, agent)| (agent.name.clone(), index))
                .collect(),
            agents,
            keeper: LoadCoordinator::new(setup.policy.load_permits, 5000, 0),
            weights: WeightStoreModel::new(setup.deployment.loads_per_s()),
            loads: Vec::new(),
            loads_changed: 0,
            requests: HashMap::new(),
            attempts: HashMap::new(),
            measures: Measures::new(spec.batch_limit),
        };
        bench.configure(setup);
        bench
    }

    fn configure(&mut self, setup: &Setup) {
        let limits = Limits { waiting_max: 1_000_000, hold_ms: u64::MAX / 2, ..Limits::default() };
        for entry in 0..self.entries.len() {
            self.entry(entry, EntryInput::Config { limits, policy: setup.policy });
            self.entry(entry, EntryInput::EntryCount { count: Deployment::ENTRIES });
        }
        for agent in 0..self.agents.len() {
            self.agent(
                agent,
                AgentInput::EngineListed(EngineState { epoch: 1, adapters: Vec::new() }),
            );
            self.agent(agent, AgentInput::Ownership(Ownership::Held(Fence::new(1))));
            let version = ConfigVersion::new(1);
            self.agent(
                agent,
                AgentInput::Config { version, policy: setup.policy, weights: setup.weights },
            );
            self.schedule(agent as u64 * 1000, SimEvent::Report(agent));
        }
    }

    /// Runs until all requests are answered, or for hours after the last arrival.
    pub fn run(mut self) -> Measures {
        if let Some(first) = self.trace.requests.first() {
            self.schedule_at(first.at_us, SimEvent::Arrive(0));
        }
        self.schedule(0, SimEvent::Tick);
        let end_us = self.trace.seconds * 1_000_000 + GRACE_US;
        while let Some(Reverse(next)) = self.events.pop() {
            if next.at_us > end_us {
                break;
            }
            self.now = self.now.max(MonoTime::from_us(next.at_us));
            self.dispatch(next.event);
        }
        for agent in &self.agents {
            self.measures.steps += agent.engine.steps;
            self.measures.step_places += agent.engine.batched_calls;
        }
        self.measures.unanswered = self.requests.len() as u64;
        self.measures.calls = self.entries.iter().map(Entry::call_count).sum();
        self.measures
    }

    fn dispatch(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(index) => self.arrive(index),
            SimEvent::Offer(agent, attempt, demand) => self.offer(agent, &attempt, demand),
            SimEvent::Step(agent) => self.step(agent),
            SimEvent::LoadDone(changed) => self.load_done(changed),
            SimEvent::Report(agent) => {
                let report = self.report(agent);
                for entry in 0..self.entries.len() {
                    self.entry(entry, EntryInput::Report(report.clone()));
                }
                if self.is_open() {
                    self.schedule(REPORT_US, SimEvent::Report(agent));
                }
            }
            SimEvent::Tick => {
                for agent in 0..self.agents.len() {
                    self.agent(agent, AgentInput::Tick);
                }
                for entry in 0..self.entries.len() {
                    self.entry(entry, EntryInput::Tick);
                }
                self.grant();
                if self.is_open() {
                    self.schedule(TICK_US, SimEvent::Tick);
                }
            }
        }
    }

    fn is_open(&self) -> bool {
        let last_us = self.trace.requests.last().map_or(0, |request| request.at_us);
        !self.requests.is_empty() || self.now.as_us() <= last_us + REPORT_US
    }

    fn arrive(&mut self, index: usize) {
        if let Some(next) = self.trace.requests.get(index + 1) {
            self.schedule_at(next.at_us, SimEvent::Arrive(index + 1));
        }
        let traced = &self.trace.requests[index];
        let request: RequestId = format!("r{index}").into();
        let entry = index % self.entries.len();
        self.requests
            .insert(request.clone(), Open { index, entry, first_token: false, attempts: 0 });
        self.measures.requests += 1;
        let arrival = CallerRequest {
            request,
            service: self.service.clone(),
            target: Target::Adapter(self.trace.adapters[traced.adapter].clone()),
            class: traced.class,
            idempotent: true,
            has_idempotency_key: false,
        };
        self.entry(entry, EntryInput::Request(arrival));
    }

    fn entry(&mut self, index: usize, input: EntryInput) {
        for action in self.entries[index].handle(self.now, input) {
            match action {
                EntryAction::Send(OutboundAttempt {
                    attempt,
                    request,
                    node,
                    demand_per_1000s: demand,
                    ..
                }) => {
                    let agent = self.index[&node];
                    if let Some(open) = self.requests.get_mut(&request) {
                        open.attempts += 1;
                        self.measures.calls_max = self.measures.calls_max.max(open.attempts);
                    }
                    self.attempts.insert(attempt.clone(), request);
                    self.schedule(HOP_US, SimEvent::Offer(agent, attempt, demand));
                }
                EntryAction::CallStarted { request, load_stall_ms, .. } => {
                    self.started(&request, load_stall_ms);
                }
                EntryAction::FinishAnswer { request, .. } => {
                    self.requests.remove(&request);
                }
                EntryAction::Refuse { request, .. } => {
                    self.measures.refused += 1;
                    self.requests.remove(&request);
                }
                EntryAction::Claim { .. }
                | EntryAction::SettleClaim { .. }
                | EntryAction::RecordAnswer { .. }
                | EntryAction::ReplayAnswer { .. }
                | EntryAction::CancelAttempt { .. }
                | EntryAction::AttemptRefused { .. }
                | EntryAction::DeliverChunk { .. }
                | EntryAction::DeliverAnswer { .. } => {}
            }
        }
    }

    fn started(&mut self, request: &RequestId, load_stall_ms: u64) {
        let Some(open) = self.requests.get(request) else {
            return;
        };
        let traced = &self.trace.requests[open.index];
        let class = self.measures.class(traced.class);
        class.stall_sum_ms += load_stall_ms;
        record(&mut class.stall, load_stall_ms);
        if traced.special && traced.adapter >= 800 {
            let begin_us =
                self.trace.seconds * 1_000_000 * if traced.adapter == 800 { 3 } else { 6 } / 10;
            let second = (traced.at_us.saturating_sub(begin_us) / 1_000_000) as usize;
            if second < 60 {
                while self.measures.front_stall.len() <= second {
                    self.measures.front_stall.push(histogram());
                }
                record(&mut self.measures.front_stall[second], load_stall_ms);
            }
        }
    }

    fn offer(&mut self, agent: usize, attempt: &AttemptId, demand: u32) {
        let Some(open) = self.attempts.get(attempt).and_then(|request| self.requests.get(request))
        else {
            return;
        };
        let traced = &self.trace.requests[open.index];
        let offer = AttemptRequest {
            attempt: attempt.clone(),
            service: self.service.clone(),
            target: Target::Adapter(self.trace.adapters[traced.adapter].clone()),
            class: traced.class,
            deadline: None,
            config_version: ConfigVersion::new(1),
            arrived_at: self.now,
            demand_per_1000s: demand,
            is_resume: false,
        };
        self.agent(agent, AgentInput::Submit(offer));
    }

    fn agent(&mut self, index: usize, input: AgentInput) {
        for action in self.agents[index].core.handle(self.now, input) {
            match action {
                AgentAction::Call { attempt, priority, .. } => self.call(index, &attempt, priority),
                AgentAction::Load { adapter, evict, .. } => {
                    self.load(index, adapter, evict.as_ref());
                }
                AgentAction::RequestLoads { requests: wants } => {
                    let name = self.agents[index].name.clone();
                    self.keeper.set_requests(self.now, &name, wants);
                    self.grant();
                }
                AgentAction::ReleasePermit { grant_id: grant } => {
                    self.keeper.release(grant);
                    self.grant();
                }
                AgentAction::SendEvent(event) => self.emit(index, event),
                AgentAction::CancelCall { .. }
                | AgentAction::ListAdapters
                | AgentAction::FetchConfig { .. }
                | AgentAction::EngineRestarted { .. }
                | AgentAction::Drained => {}
            }
        }
    }

    fn emit(&mut self, agent: usize, event: AttemptEvent) {
        let open = self.attempts.get(&event.attempt).and_then(|request| self.requests.get(request));
        let Some(entry) = open.map(|open| open.entry) else {
            return;
        };
        let report = self.report(agent);
        self.entry(entry, EntryInput::Report(report));
        self.entry(entry, EntryInput::Event(event));
    }

    fn call(&mut self, agent: usize, attempt: &AttemptId, priority: Priority) {
        let Some(open) = self.attempts.get(attempt).and_then(|request| self.requests.get(request))
        else {
            return;
        };
        let traced = &self.trace.requests[open.index];
        let adapter = self.trace.adapters[traced.adapter].clone();
        self.sequence += 1;
        let call = EngineCall {
            id: attempt.to_string(),
            adapter: adapter.clone(),
            priority: priority.number(),
            sequence: self.sequence,
            answer_tokens: traced.tokens,
            produced_tokens: 0,
            prompt: String::new(),
        };
        let sim = &mut self.agents[agent];
        *sim.served.entry(adapter).or_default() += 1;
        if !sim.engine.start_call(call) {
            // A call for an adapter that is not there would have been answered wrongly.
            self.measures.wrong += 1;
            return;
        }
        if !std::mem::replace(&mut sim.stepping, true) {
            self.schedule_step(agent);
        }
    }

    fn schedule_step(&mut self, agent: usize) {
        match self.agents[agent].engine.next_step_time() {
            Some(time) => self.schedule(time.as_micros() as u64, SimEvent::Step(agent)),
            None => self.agents[agent].stepping = false,
        }
    }

    fn step(&mut self, agent: usize) {
        let sim = &mut self.agents[agent];
        let (waiting, _) = sim.core.attempt_counts();
        let (running, _) = sim.engine.call_counts();
        if waiting > 0 {
            self.measures.busy_steps += 1;
            self.measures.busy_places += running as u64;
        }
        let produced = sim.engine.step();
        for token in produced {
            let attempt: AttemptId = token.call_id.as_str().into();
            if token.index == 0 {
                self.first_token(&attempt);
            }
            if token.is_last {
                let finish_reason = "stop".to_owned();
                // Pieces are left out of the bench, so an answer of none is a whole one.
                let kind = AttemptEventKind::Done { finish_reason, tokens: 0 };
                self.agent(agent, AgentInput::CallEnded { attempt, kind });
            }
        }
        self.schedule_step(agent);
    }

    fn first_token(&mut self, attempt: &AttemptId) {
        let request = self.attempts.get(attempt);
        let Some(open) = request.and_then(|request| self.requests.get_mut(request)) else {
            return;
        };
        if std::mem::replace(&mut open.first_token, true) {
            return;
        }
        let traced = &self.trace.requests[open.index];
        let ttft_ms = (self.now.as_us() - traced.at_us) / 1000;
        record(&mut self.measures.class(traced.class).ttft, ttft_ms);
        let third_us = self.trace.seconds * 1_000_000 / 3;
        if !traced.special && (third_us..2 * third_us).contains(&traced.at_us) {
            record(&mut self.measures.others_ttft, ttft_ms);
        }
    }

    fn grant(&mut self) {
        while let Some(grant) = self.keeper.grant_next(self.now) {
            let agent = self.index[&grant.node];
            let (number, adapter, hold_ms) = (grant.id, grant.adapter, grant.hold_ms);
            self.agent(agent, AgentInput::LoadGranted { grant_id: number, adapter, hold_ms });
        }
    }

    fn load(&mut self, agent: usize, adapter: AdapterRef, evict: Option<&AdapterRef>) {
        let sim = &mut self.agents[agent];
        if let Some(evict) = evict {
            self.measures.wrong += sim.engine.unload_adapter(evict) as u64;
            if sim.served.remove(evict).is_none() {
                self.measures.loads_wasted += 1;
            }
        }
        self.measures.loads += 1;
        let elsewhere = self.agents.iter().any(|other| other.engine.has_adapter(&adapter))
            || self.loads.iter().any(|load| load.adapter == adapter);
        self.measures.loads_doubled += u64::from(elsewhere);
        self.advance_loads();
        self.loads.push(Loading { agent, adapter, left: 1.0, updated_us: self.now.as_us() });
        self.schedule_load();
    }

    fn advance_loads(&mut self) {
        let progress_per_s = self.weights.progress_per_s(self.loads.len());
        for load in &mut self.loads {
            let elapsed_s = (self.now.as_us() - load.updated_us) as f64 / 1e6;
            load.left -= elapsed_s * progress_per_s;
            load.updated_us = self.now.as_us();
        }
    }

    fn schedule_load(&mut self) {
        self.loads_changed += 1;
        let progress_per_s = self.weights.progress_per_s(self.loads.len());
        let least = self.loads.iter().map(|load| load.left).fold(f64::INFINITY, f64::min);
        if least.is_finite() {
            let wait_us = (least.max(0.0) / progress_per_s * 1e6).ceil() as u64;
            self.schedule(wait_us, SimEvent::LoadDone(self.loads_changed));
        }
    }

    fn load_done(&mut self, changed: u64) {
        if changed != self.loads_changed {
            return;
        }
        self.advance_loads();
        let Some(index) = self.loads.iter().position(|load| load.left <= 1e-5) else {
            self.schedule_load();
            return;
        };
        let load = self.loads.remove(index);
        self.schedule_load();
        if !self.agents[load.agent].engine.load_adapter(&load.adapter) {
            self.measures.wrong += 1;
        }
        self.agent(load.agent, AgentInput::Loaded { adapter: load.adapter });
    }

    fn report(&self, agent: usize) -> ReplicaReport {
        self.agents[agent].core.report(self.now)
    }

    fn schedule(&mut self, after_us: u64, event: SimEvent) {
        self.schedule_at(self.now.as_us() + after_us, event);
    }

    fn schedule_at(&mut self, at_us: u64, event: SimEvent) {
        self.sequence += 1;
        self.events.push(Reverse(Scheduled { at_us, sequence: self.sequence, event }));
    }
}
