//! Simulates entries, agents and engines in virtual time.
//!
//! The decision logic of entries and agents is that of the daemons; engines and the weight store
//! are the models that the test doubles use.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use filbertcleat_base::AdapterRef;
use filbertcleat_base::AttemptId;
use filbertcleat_base::ConfigVersion;
use filbertcleat_base::FencingToken;
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

use crate::metrics::Metrics;
use crate::metrics::histogram;
use crate::metrics::record;
use crate::trace::Deployment;
use crate::trace::Trace;

/// The delay of a message from an entry to an agent.
const MESSAGE_DELAY_US: u64 = 400;
/// The interval at which an agent reports to all entries.
const REPORT_INTERVAL_US: u64 = 300_000;
/// The interval at which entries and agents get a tick.
const TICK_INTERVAL_US: u64 = 50_000;
/// The time after the end of the arrivals at which the run ends even if requests are open.
const DRAIN_TIMEOUT_US: u64 = 7200 * 1_000_000;

/// The parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct SimSettings {
    pub deployment: Deployment,
    pub policy: Policy,
    pub weights: ObjectiveWeights,
    pub seed: u64,
}

/// A simulation of one trace.
pub struct Simulation<'a> {
    trace: &'a Trace,
    now: MonoTime,
    /// The scheduled events; the earliest is popped first.
    events: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
    service: ServiceName,
    entries: Vec<Entry>,
    agents: Vec<AgentSim>,
    /// The index of each agent by name.
    agent_indices: HashMap<NodeName, usize>,
    load_coordinator: LoadCoordinator,
    weight_store: WeightStoreModel,
    /// The loads in progress.
    loads: Vec<Loading>,
    /// Incremented by each change of `loads`, which invalidates the scheduled completion.
    loads_generation: u64,
    /// The requests that are not answered yet.
    requests: HashMap<RequestId, OpenRequest>,
    /// The request of each attempt.
    attempts: HashMap<AttemptId, RequestId>,
    metrics: Metrics,
}

/// An agent and its engine.
struct AgentSim {
    name: NodeName,
    agent: Agent,
    engine: EngineModel,
    /// Whether a step of the engine is scheduled.
    is_step_scheduled: bool,
    /// The number of calls for each adapter since it was loaded.
    calls_by_adapter: HashMap<AdapterRef, u64>,
}

/// A load in progress.
struct Loading {
    agent: usize,
    adapter: AdapterRef,
    /// The fraction of the load that remains at `updated_us`.
    remaining: f64,
    updated_us: u64,
}

/// A request that is not answered yet.
struct OpenRequest {
    /// The index of the request in the trace.
    trace_index: usize,
    /// The index of its entry.
    entry: usize,
    has_first_token: bool,
    attempts: u32,
}

/// An event with its time.
///
/// Events at the same time are ordered by `sequence`, the order in which they were scheduled.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct Scheduled {
    at_us: u64,
    sequence: u64,
    event: SimEvent,
}

/// An event of the simulation.
#[derive(Clone, Eq, Ord, PartialEq, PartialOrd)]
enum SimEvent {
    /// The request with this trace index arrives.
    Arrive(usize),
    /// An attempt reaches an agent, with the demand for its adapter per 1000 s.
    Submit(usize, AttemptId, u32),
    /// A step of the engine of an agent ends.
    Step(usize),
    /// The next load completes, unless `loads_generation` has changed.
    LoadCompleted(u64),
    /// An agent reports to all entries.
    Report(usize),
    /// All entries and agents get a tick.
    Tick,
}

impl<'a> Simulation<'a> {
    /// Creates the entries and agents, and applies their configuration.
    pub fn new(settings: &SimSettings, trace: &'a Trace) -> Self {
        let spec = Deployment::engine_spec();
        let service: ServiceName = "service".into();
        let overcommit = usize::from(settings.policy == Policy::default());
        let agents: Vec<_> = (0..settings.deployment.replicas())
            .map(|number| {
                let name: NodeName = format!("agent-{number:02}").into();
                let agent_settings = AgentSettings {
                    initial_load_ms: 1000.0 / settings.deployment.loads_per_s(),
                    initial_call_ms: spec.step_time(spec.batch_limit).as_secs_f64()
                        * 1000.0
                        * Trace::MEAN_ANSWER_TOKENS as f64,
                    queue_max: 1_000_000,
                    ..AgentSettings::new(
                        name.clone(),
                        service.clone(),
                        spec.adapter_slots,
                        spec.batch_limit,
                    )
                };
                let agent = Agent::new(agent_settings.with_key_account_overcommit(overcommit));
                let engine = EngineModel::new(spec, 1);
                AgentSim {
                    name,
                    agent,
                    engine,
                    is_step_scheduled: false,
                    calls_by_adapter: HashMap::new(),
                }
            })
            .collect();
        let entries = (0..Deployment::ENTRIES)
            .map(|number| {
                let node = format!("entry-{number}").into();
                Entry::new(EntrySettings { node, seed: settings.seed + number as u64 })
            })
            .collect();
        let mut simulation = Self {
            trace,
            now: MonoTime::from_ms(1),
            events: BinaryHeap::new(),
            sequence: 0,
            service,
            entries,
            agent_indices: agents
                .iter()
                .enumerate()
                .map(|(index, agent)| (agent.name.clone(), index))
                .collect(),
            agents,
            load_coordinator: LoadCoordinator::new(settings.policy.load_permits, 5000, 0),
            weight_store: WeightStoreModel::new(settings.deployment.loads_per_s()),
            loads: Vec::new(),
            loads_generation: 0,
            requests: HashMap::new(),
            attempts: HashMap::new(),
            metrics: Metrics::new(spec.batch_limit),
        };
        simulation.configure(settings);
        simulation
    }

    fn configure(&mut self, settings: &SimSettings) {
        let limits = Limits { waiting_max: 1_000_000, hold_ms: u64::MAX / 2, ..Limits::default() };
        for entry in 0..self.entries.len() {
            self.handle_entry(entry, EntryInput::Config { limits, policy: settings.policy });
            self.handle_entry(entry, EntryInput::EntryCount { count: Deployment::ENTRIES });
        }
        for agent in 0..self.agents.len() {
            self.handle_agent(
                agent,
                AgentInput::EngineListed(EngineState { epoch: 1, adapters: Vec::new() }),
            );
            self.handle_agent(agent, AgentInput::Ownership(Ownership::Held(FencingToken::new(1))));
            let version = ConfigVersion::new(1);
            self.handle_agent(
                agent,
                AgentInput::Config { version, policy: settings.policy, weights: settings.weights },
            );
            self.schedule(agent as u64 * 1000, SimEvent::Report(agent));
        }
    }

    /// Runs until no events remain or the drain timeout has passed, and returns the metrics.
    pub fn run(mut self) -> Metrics {
        if let Some(first) = self.trace.requests.first() {
            self.schedule_at(first.arrival_us, SimEvent::Arrive(0));
        }
        self.schedule(0, SimEvent::Tick);
        let end_us = self.trace.duration_s * 1_000_000 + DRAIN_TIMEOUT_US;
        while let Some(Reverse(next)) = self.events.pop() {
            if next.at_us > end_us {
                break;
            }
            self.now = self.now.max(MonoTime::from_us(next.at_us));
            self.dispatch(next.event);
        }
        for agent in &self.agents {
            self.metrics.steps += agent.engine.steps;
            self.metrics.batched_calls += agent.engine.batched_calls;
        }
        self.metrics.unanswered = self.requests.len() as u64;
        self.metrics.calls = self.entries.iter().map(Entry::attempt_count).sum();
        self.metrics
    }

    fn dispatch(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(index) => self.arrive(index),
            SimEvent::Submit(agent, attempt, demand) => self.submit(agent, &attempt, demand),
            SimEvent::Step(agent) => self.step(agent),
            SimEvent::LoadCompleted(generation) => self.complete_load(generation),
            SimEvent::Report(agent) => {
                let report = self.report(agent);
                for entry in 0..self.entries.len() {
                    self.handle_entry(entry, EntryInput::Report(report.clone()));
                }
                if self.has_open_requests() {
                    self.schedule(REPORT_INTERVAL_US, SimEvent::Report(agent));
                }
            }
            SimEvent::Tick => {
                for agent in 0..self.agents.len() {
                    self.handle_agent(agent, AgentInput::Tick);
                }
                for entry in 0..self.entries.len() {
                    self.handle_entry(entry, EntryInput::Tick);
                }
                self.grant_loads();
                if self.has_open_requests() {
                    self.schedule(TICK_INTERVAL_US, SimEvent::Tick);
                }
            }
        }
    }

    /// Returns whether requests are open or still to arrive, so that periodic events continue.
    fn has_open_requests(&self) -> bool {
        let last_us = self.trace.requests.last().map_or(0, |request| request.arrival_us);
        !self.requests.is_empty() || self.now.as_us() <= last_us + REPORT_INTERVAL_US
    }

    /// Hands a request of the trace to an entry, and schedules the next arrival.
    fn arrive(&mut self, index: usize) {
        if let Some(next) = self.trace.requests.get(index + 1) {
            self.schedule_at(next.arrival_us, SimEvent::Arrive(index + 1));
        }
        let traced = &self.trace.requests[index];
        let request: RequestId = format!("r{index}").into();
        let entry = index % self.entries.len();
        self.requests.insert(
            request.clone(),
            OpenRequest { trace_index: index, entry, has_first_token: false, attempts: 0 },
        );
        self.metrics.requests += 1;
        let caller_request = CallerRequest {
            id: request,
            service: self.service.clone(),
            target: Target::Adapter(self.trace.adapters[traced.adapter].clone()),
            class: traced.class,
            idempotent: true,
            has_idempotency_key: false,
        };
        self.handle_entry(entry, EntryInput::Request(caller_request));
    }

    /// Handles an input of an entry and executes the resulting actions.
    fn handle_entry(&mut self, index: usize, input: EntryInput) {
        for action in self.entries[index].handle(self.now, input) {
            match action {
                EntryAction::Send(OutboundAttempt {
                    attempt,
                    request,
                    node,
                    demand_per_1000s: demand,
                    ..
                }) => {
                    let agent = self.agent_indices[&node];
                    if let Some(open) = self.requests.get_mut(&request) {
                        open.attempts += 1;
                        self.metrics.calls_max = self.metrics.calls_max.max(open.attempts);
                    }
                    self.attempts.insert(attempt.clone(), request);
                    self.schedule(MESSAGE_DELAY_US, SimEvent::Submit(agent, attempt, demand));
                }
                EntryAction::CallStarted { request, load_stall_ms, .. } => {
                    self.record_stall(&request, load_stall_ms);
                }
                EntryAction::FinishAnswer { request, .. } => {
                    self.requests.remove(&request);
                }
                EntryAction::Refuse { request, .. } => {
                    self.metrics.refused += 1;
                    self.requests.remove(&request);
                }
                EntryAction::Claim { .. }
                | EntryAction::CompleteClaim { .. }
                | EntryAction::RecordAnswer { .. }
                | EntryAction::ReplayAnswer { .. }
                | EntryAction::CancelAttempt { .. }
                | EntryAction::AttemptRefused { .. }
                | EntryAction::DeliverChunk { .. }
                | EntryAction::DeliverAnswer { .. } => {}
            }
        }
    }

    /// Records the load stall of a request whose call has started.
    fn record_stall(&mut self, request: &RequestId, load_stall_ms: u64) {
        let Some(open) = self.requests.get(request) else {
            return;
        };
        let traced = &self.trace.requests[open.trace_index];
        let class = self.metrics.class(traced.class);
        class.stall_sum_ms += load_stall_ms;
        record(&mut class.stall, load_stall_ms);
        if traced.is_surge && traced.adapter >= 800 {
            let surge_start_us =
                self.trace.duration_s * 1_000_000 * if traced.adapter == 800 { 3 } else { 6 } / 10;
            let second = (traced.arrival_us.saturating_sub(surge_start_us) / 1_000_000) as usize;
            if second < 60 {
                while self.metrics.front_stall_ms.len() <= second {
                    self.metrics.front_stall_ms.push(histogram());
                }
                record(&mut self.metrics.front_stall_ms[second], load_stall_ms);
            }
        }
    }

    /// Submits an attempt to an agent.
    fn submit(&mut self, agent: usize, attempt: &AttemptId, demand: u32) {
        let Some(open) = self.attempts.get(attempt).and_then(|request| self.requests.get(request))
        else {
            return;
        };
        let traced = &self.trace.requests[open.trace_index];
        let submitted = AttemptRequest {
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
        self.handle_agent(agent, AgentInput::Submit(submitted));
    }

    /// Handles an input of an agent and executes the resulting actions.
    fn handle_agent(&mut self, index: usize, input: AgentInput) {
        for action in self.agents[index].agent.handle(self.now, input) {
            match action {
                AgentAction::Call { attempt, priority, .. } => {
                    self.start_call(index, &attempt, priority);
                }
                AgentAction::Load { adapter, evict, .. } => {
                    self.start_load(index, adapter, evict.as_ref());
                }
                AgentAction::RequestLoads { requests } => {
                    let name = self.agents[index].name.clone();
                    self.load_coordinator.set_requests(self.now, &name, requests);
                    self.grant_loads();
                }
                AgentAction::ReleasePermit { grant_id } => {
                    self.load_coordinator.release(grant_id);
                    self.grant_loads();
                }
                AgentAction::SendEvent(event) => self.deliver_event(index, event),
                AgentAction::CancelCall { .. }
                | AgentAction::ListAdapters
                | AgentAction::FetchConfig { .. }
                | AgentAction::EngineRestarted { .. }
                | AgentAction::Drained => {}
            }
        }
    }

    /// Delivers an attempt event, together with a fresh report of the agent, to the entry.
    fn deliver_event(&mut self, agent: usize, event: AttemptEvent) {
        let open = self.attempts.get(&event.attempt).and_then(|request| self.requests.get(request));
        let Some(entry) = open.map(|open| open.entry) else {
            return;
        };
        let report = self.report(agent);
        self.handle_entry(entry, EntryInput::Report(report));
        self.handle_entry(entry, EntryInput::Event(event));
    }

    /// Starts a call in the engine of an agent.
    fn start_call(&mut self, agent: usize, attempt: &AttemptId, priority: Priority) {
        let Some(open) = self.attempts.get(attempt).and_then(|request| self.requests.get(request))
        else {
            return;
        };
        let traced = &self.trace.requests[open.trace_index];
        let adapter = self.trace.adapters[traced.adapter].clone();
        self.sequence += 1;
        let call = EngineCall {
            id: attempt.to_string(),
            adapter: adapter.clone(),
            priority: priority.number(),
            sequence: self.sequence,
            answer_tokens: traced.answer_tokens,
            produced_tokens: 0,
            prompt: String::new(),
        };
        let sim = &mut self.agents[agent];
        *sim.calls_by_adapter.entry(adapter).or_default() += 1;
        if !sim.engine.start_call(call) {
            // An engine without the adapter could not have answered the call correctly.
            self.metrics.wrong += 1;
            return;
        }
        if !std::mem::replace(&mut sim.is_step_scheduled, true) {
            self.schedule_step(agent);
        }
    }

    /// Schedules the end of the next step of an engine, if it has calls.
    fn schedule_step(&mut self, agent: usize) {
        match self.agents[agent].engine.next_step_time() {
            Some(duration) => self.schedule(duration.as_micros() as u64, SimEvent::Step(agent)),
            None => self.agents[agent].is_step_scheduled = false,
        }
    }

    /// Completes a step of an engine and schedules the next.
    fn step(&mut self, agent: usize) {
        let sim = &mut self.agents[agent];
        let (waiting, _) = sim.agent.attempt_counts();
        let (running, _) = sim.engine.call_counts();
        if waiting > 0 {
            self.metrics.busy_steps += 1;
            self.metrics.busy_batched_calls += running as u64;
        }
        let produced = sim.engine.step();
        for token in produced {
            let attempt: AttemptId = token.call_id.as_str().into();
            if token.index == 0 {
                self.record_first_token(&attempt);
            }
            if token.is_last {
                let finish_reason = "stop".to_owned();
                // The simulation delivers no tokens, so zero tokens make a complete answer.
                let kind = AttemptEventKind::Done { finish_reason, tokens: 0 };
                self.handle_agent(agent, AgentInput::CallEnded { attempt, kind });
            }
        }
        self.schedule_step(agent);
    }

    /// Records the time to the first token of a request, once per request.
    fn record_first_token(&mut self, attempt: &AttemptId) {
        let request = self.attempts.get(attempt);
        let Some(open) = request.and_then(|request| self.requests.get_mut(request)) else {
            return;
        };
        if std::mem::replace(&mut open.has_first_token, true) {
            return;
        }
        let traced = &self.trace.requests[open.trace_index];
        let ttft_ms = (self.now.as_us() - traced.arrival_us) / 1000;
        record(&mut self.metrics.class(traced.class).ttft, ttft_ms);
        let third_us = self.trace.duration_s * 1_000_000 / 3;
        if !traced.is_surge && (third_us..2 * third_us).contains(&traced.arrival_us) {
            record(&mut self.metrics.others_ttft_ms, ttft_ms);
        }
    }

    /// Grants load permits to agents until the coordinator has none to give.
    fn grant_loads(&mut self) {
        while let Some(grant) = self.load_coordinator.grant_next(self.now) {
            let agent = self.agent_indices[&grant.node];
            let (grant_id, adapter, hold_ms) = (grant.id, grant.adapter, grant.hold_ms);
            self.handle_agent(agent, AgentInput::LoadGranted { grant_id, adapter, hold_ms });
        }
    }

    /// Evicts an adapter if ordered to, and starts a load.
    fn start_load(&mut self, agent: usize, adapter: AdapterRef, evict: Option<&AdapterRef>) {
        let sim = &mut self.agents[agent];
        if let Some(evict) = evict {
            self.metrics.wrong += sim.engine.unload_adapter(evict) as u64;
            if sim.calls_by_adapter.remove(evict).is_none() {
                self.metrics.loads_wasted += 1;
            }
        }
        self.metrics.loads += 1;
        let is_loaded_elsewhere =
            self.agents.iter().any(|other| other.engine.has_adapter(&adapter))
                || self.loads.iter().any(|load| load.adapter == adapter);
        self.metrics.loads_doubled += u64::from(is_loaded_elsewhere);
        self.advance_loads();
        self.loads.push(Loading { agent, adapter, remaining: 1.0, updated_us: self.now.as_us() });
        self.schedule_load();
    }

    /// Updates the remaining fractions of all loads to the current time.
    fn advance_loads(&mut self) {
        let progress_per_s = self.weight_store.progress_per_s(self.loads.len());
        for load in &mut self.loads {
            let elapsed_s = (self.now.as_us() - load.updated_us) as f64 / 1e6;
            load.remaining -= elapsed_s * progress_per_s;
            load.updated_us = self.now.as_us();
        }
    }

    /// Schedules the completion of the load that finishes first.
    fn schedule_load(&mut self) {
        self.loads_generation += 1;
        let progress_per_s = self.weight_store.progress_per_s(self.loads.len());
        let min_remaining =
            self.loads.iter().map(|load| load.remaining).fold(f64::INFINITY, f64::min);
        if min_remaining.is_finite() {
            let delay_us = (min_remaining.max(0.0) / progress_per_s * 1e6).ceil() as u64;
            self.schedule(delay_us, SimEvent::LoadCompleted(self.loads_generation));
        }
    }

    /// Completes a load, if the loads have not changed since the event was scheduled.
    fn complete_load(&mut self, generation: u64) {
        if generation != self.loads_generation {
            return;
        }
        self.advance_loads();
        let Some(index) = self.loads.iter().position(|load| load.remaining <= 1e-5) else {
            self.schedule_load();
            return;
        };
        let load = self.loads.remove(index);
        self.schedule_load();
        if !self.agents[load.agent].engine.load_adapter(&load.adapter) {
            self.metrics.wrong += 1;
        }
        self.handle_agent(load.agent, AgentInput::Loaded { adapter: load.adapter });
    }

    fn report(&self, agent: usize) -> ReplicaReport {
        self.agents[agent].agent.report(self.now)
    }

    fn schedule(&mut self, delay_us: u64, event: SimEvent) {
        self.schedule_at(self.now.as_us() + delay_us, event);
    }

    fn schedule_at(&mut self, at_us: u64, event: SimEvent) {
        self.sequence += 1;
        self.events.push(Reverse(Scheduled { at_us, sequence: self.sequence, event }));
    }
}
