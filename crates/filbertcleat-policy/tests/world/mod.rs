//! One entry, two agents and their engines, whose messages come in any order.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use filbertcleat_base::AdapterRef;
use filbertcleat_base::AttemptId;
use filbertcleat_base::Class;
use filbertcleat_base::ConfigVersion;
use filbertcleat_base::Executed;
use filbertcleat_base::Fault;
use filbertcleat_base::Fence;
use filbertcleat_base::MonoTime;
use filbertcleat_base::Step;
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
use filbertcleat_policy::LoadedAdapter;
use filbertcleat_policy::Target;
use filbertcleat_store::Ownership;
use proptest::prelude::TestCaseError;

const TOKENS: u64 = 4;
const SLOTS: usize = 2;

/// A request with all that became of it.
#[derive(Debug, Default)]
struct Request {
    adapter: usize,
    idempotent: bool,
    runs: usize,
    text: String,
    ended: Option<Ended>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ended {
    Whole,
    Refused(Executed),
}

/// An agent with its engine.
struct Node {
    core: Agent,
    held: Vec<AdapterRef>,
    loading: Option<(AdapterRef, Option<AdapterRef>)>,
    calls: BTreeMap<AttemptId, u64>,
    drained: bool,
    calls_after_drain: usize,
}

/// One entry and two agents.
pub struct World {
    now_ms: u64,
    entry: Entry,
    nodes: Vec<Node>,
    requests: BTreeMap<String, Request>,
    /// Each attempt's request, agent and events on the way.
    attempts: BTreeMap<AttemptId, Link>,
    evicted_serving: usize,
    next_request: usize,
}

struct Link {
    request: String,
    node: usize,
    offered: bool,
    cut: bool,
    events: VecDeque<AttemptEvent>,
}

impl World {
    pub fn new() -> Self {
        let nodes = (0..2).map(|number| {
            let settings =
                AgentSettings::new(format!("agent-{number}").into(), "s".into(), SLOTS, 2);
            Node {
                core: Agent::new(settings),
                held: Vec::new(),
                loading: None,
                calls: BTreeMap::new(),
                drained: false,
                calls_after_drain: 0,
            }
        });
        let mut world = Self {
            now_ms: 1,
            entry: Entry::new(EntrySettings { node: "entry".into(), seed: 3 }),
            nodes: nodes.collect(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            evicted_serving: 0,
            next_request: 0,
        };
        for node in 0..2 {
            world.agent(
                node,
                AgentInput::EngineListed(EngineState { epoch: 1, adapters: Vec::new() }),
            );
            world.agent(node, AgentInput::Ownership(Ownership::Held(Fence::new(1))));
        }
        world.report();
        world
    }

    /// Does one of the things that can happen, chosen by a number.
    pub fn step(&mut self, choice: u16) {
        let pick = usize::from(choice / 16);
        match choice % 16 {
            0..=2 => self.arrive(pick),
            3..=4 => self.offer(pick),
            5..=7 => self.token(pick),
            8..=9 => self.deliver(pick),
            10 => self.load(pick, true),
            11 => self.grant(pick % 2),
            12 if pick.is_multiple_of(4) => self.cut(pick),
            13 if pick.is_multiple_of(4) => self.load(pick, false),
            14 if pick.is_multiple_of(64) => self.drain(pick % 2),
            _ => self.tick(),
        }
    }

    /// Lets everything come to its end.
    pub fn settle(&mut self) {
        for round in 0..4000 {
            if self.open() == 0 {
                return;
            }
            for step in [3, 5, 8, 10, 11, 11 + 16, 15] {
                self.step(step + 16 * ((round * 7) % 100));
            }
        }
    }

    pub fn open(&self) -> usize {
        self.requests.values().filter(|request| request.ended.is_none()).count()
    }

    pub fn check(&self) -> Result<(), TestCaseError> {
        let fail = |reason: String| Err(TestCaseError::fail(reason));
        if self.evicted_serving > 0 {
            return fail("a serving adapter was evicted".to_owned());
        }
        if self.nodes.iter().any(|node| node.calls_after_drain > 0) {
            return fail("a leaving agent began a call".to_owned());
        }
        for (name, request) in &self.requests {
            let whole = answer(name, request.adapter);
            if !whole.starts_with(&request.text) {
                return fail(format!("{name} got {:?}", request.text));
            }
            if !request.idempotent && request.runs > 1 {
                return fail(format!("{name} ran {} times", request.runs));
            }
            match request.ended {
                Some(Ended::Whole) if request.text != whole => {
                    return fail(format!("{name} is cut short"));
                }
                Some(Ended::Refused(Executed::No)) if request.runs > 0 => {
                    return fail(format!("{name} was run"));
                }
                Some(_) | None => {}
            }
        }
        Ok(())
    }

    fn now(&self) -> MonoTime {
        MonoTime::from_ms(self.now_ms)
    }

    fn arrive(&mut self, pick: usize) {
        if self.next_request >= 24 {
            return;
        }
        let name = format!("r{}", self.next_request);
        self.next_request += 1;
        let request = Request {
            adapter: pick % 5,
            idempotent: !pick.is_multiple_of(3),
            ..Request::default()
        };
        let arrival = CallerRequest {
            request: name.as_str().into(),
            service: "s".into(),
            target: Target::Adapter(adapter(request.adapter)),
            class: if pick.is_multiple_of(2) { Class::KeyAccount } else { Class::Routine },
            idempotent: request.idempotent,
            has_idempotency_key: false,
        };
        self.requests.insert(name, request);
        self.entry(EntryInput::Request(arrival));
    }

    fn entry(&mut self, input: EntryInput) {
        for action in self.entry.handle(self.now(), input) {
            match action {
                EntryAction::Send(sending) => {
                    let node = usize::from(sending.node.as_str() == "agent-1");
                    let request = sending.request.to_string();
                    let events = VecDeque::new();
                    let link = Link { request, node, offered: false, cut: false, events };
                    self.attempts.insert(sending.attempt, link);
                }
                EntryAction::CancelAttempt { attempt } => self.cancel(&attempt),
                EntryAction::DeliverChunk { request, text } => {
                    if let Some(request) = self.requests.get_mut(request.as_str()) {
                        request.text.push_str(&text);
                    }
                }
                EntryAction::FinishAnswer { request, .. } => {
                    self.end(request.as_str(), Ended::Whole);
                }
                EntryAction::Refuse { request, refusal } => {
                    self.end(request.as_str(), Ended::Refused(refusal.run));
                }
                EntryAction::Claim { .. }
                | EntryAction::SettleClaim { .. }
                | EntryAction::RecordAnswer { .. }
                | EntryAction::ReplayAnswer { .. }
                | EntryAction::CallStarted { .. }
                | EntryAction::AttemptRefused { .. }
                | EntryAction::DeliverAnswer { .. } => {}
            }
        }
    }

    fn end(&mut self, name: &str, ended: Ended) {
        if let Some(request) = self.requests.get_mut(name) {
            assert!(request.ended.is_none(), "{name} ended twice");
            request.ended = Some(ended);
        }
    }

    fn agent(&mut self, index: usize, input: AgentInput) {
        let now = self.now();
        for action in self.nodes[index].core.handle(now, input) {
            match action {
                AgentAction::Call { attempt, .. } => self.call(index, &attempt),
                AgentAction::CancelCall { attempt } => {
                    self.nodes[index].calls.remove(&attempt);
                    let fault = Fault::new(Step::Stream, "engine", "cancelled");
                    let kind = AttemptEventKind::Broken { fault, resumable: false };
                    self.agent(index, AgentInput::CallEnded { attempt, kind });
                }
                AgentAction::Load { adapter, evict, .. } => {
                    let serving = |evict: &AdapterRef| {
                        self.nodes[index]
                            .calls
                            .keys()
                            .any(|attempt| self.adapter_of(attempt) == *evict)
                    };
                    if evict.as_ref().is_some_and(serving) {
                        self.evicted_serving += 1;
                    }
                    self.nodes[index].loading = Some((adapter, evict));
                }
                AgentAction::SendEvent(event) => {
                    if let Some(link) = self.attempts.get_mut(&event.attempt) {
                        link.events.push_back(event);
                    }
                }
                AgentAction::ListAdapters => {
                    let held = self.nodes[index].held.iter().cloned();
                    let resident =
                        held.map(|adapter| LoadedAdapter { adapter, running_calls: 0 }).collect();
                    self.agent(
                        index,
                        AgentInput::EngineListed(EngineState { epoch: 1, adapters: resident }),
                    );
                }
                AgentAction::RequestLoads { .. }
                | AgentAction::ReleasePermit { .. }
                | AgentAction::FetchConfig { .. }
                | AgentAction::EngineRestarted { .. }
                | AgentAction::Drained => {}
            }
        }
    }

    fn call(&mut self, index: usize, attempt: &AttemptId) {
        let request = &self.attempts[attempt].request;
        let node = &mut self.nodes[index];
        node.calls_after_drain += usize::from(node.drained);
        node.calls.insert(attempt.clone(), 0);
        if let Some(request) = self.requests.get_mut(request) {
            request.runs += 1;
        }
        let adapter = self.adapter_of(attempt);
        assert!(
            self.nodes[index].held.contains(&adapter),
            "a call for an adapter that is not held"
        );
    }

    fn adapter_of(&self, attempt: &AttemptId) -> AdapterRef {
        adapter(self.requests[&self.attempts[attempt].request].adapter)
    }

    fn offer(&mut self, pick: usize) {
        let waiting: Vec<_> =
            self.attempts.iter().filter(|(_, link)| !link.offered && !link.cut).collect();
        let Some(attempt) =
            waiting.get(pick % waiting.len().max(1)).map(|(attempt, _)| (*attempt).clone())
        else {
            return;
        };
        let adapter = self.adapter_of(&attempt);
        let Some(link) = self.attempts.get_mut(&attempt) else {
            return;
        };
        link.offered = true;
        let node = link.node;
        let offer = AttemptRequest {
            attempt,
            service: "s".into(),
            target: Target::Adapter(adapter),
            class: Class::Routine,
            deadline: None,
            config_version: ConfigVersion::default(),
            arrived_at: self.now(),
            demand_per_1000s: 0,
            is_resume: false,
        };
        self.agent(node, AgentInput::Submit(offer));
    }

    fn token(&mut self, pick: usize) {
        let node = pick % 2;
        let calls: Vec<_> = self.nodes[node].calls.keys().cloned().collect();
        let Some(attempt) = calls.get((pick / 2) % calls.len().max(1)).cloned() else {
            return;
        };
        let index = self.nodes[node].calls[&attempt];
        if index < TOKENS {
            let name = self.attempts[&attempt].request.clone();
            let text = token(&name, self.requests[&name].adapter, index);
            self.nodes[node].calls.insert(attempt.clone(), index + 1);
            self.agent(node, AgentInput::Chunk { attempt, text });
        } else {
            self.nodes[node].calls.remove(&attempt);
            let kind = AttemptEventKind::Done { finish_reason: "stop".to_owned(), tokens: TOKENS };
            self.agent(node, AgentInput::CallEnded { attempt, kind });
        }
    }

    fn deliver(&mut self, pick: usize) {
        let ready: Vec<_> =
            self.attempts.iter().filter(|(_, link)| !link.cut && !link.events.is_empty()).collect();
        let Some(attempt) =
            ready.get(pick % ready.len().max(1)).map(|(attempt, _)| (*attempt).clone())
        else {
            return;
        };
        let event = self.attempts.get_mut(&attempt).and_then(|link| link.events.pop_front());
        if let Some(event) = event {
            self.entry(EntryInput::Event(event));
        }
    }

    /// Cuts an attempt's stream: the entry loses it, and the agent sees it dropped.
    fn cut(&mut self, pick: usize) {
        let open: Vec<_> = self.attempts.iter().filter(|(_, link)| !link.cut).collect();
        let Some((attempt, sent)) = open
            .get(pick % open.len().max(1))
            .map(|(attempt, link)| ((*attempt).clone(), link.offered))
        else {
            return;
        };
        self.cancel(&attempt);
        let fault = Fault::new(Step::Stream, "agent", "cut");
        self.entry(EntryInput::AttemptLost { attempt, maybe_sent: sent, fault });
    }

    fn cancel(&mut self, attempt: &AttemptId) {
        let Some(link) = self.attempts.get_mut(attempt) else {
            return;
        };
        link.cut = true;
        let (node, offered) = (link.node, link.offered);
        if offered {
            self.agent(node, AgentInput::Cancel { attempt: attempt.clone() });
        }
    }

    fn load(&mut self, pick: usize, succeeds: bool) {
        let index = pick % 2;
        let Some((adapter, evict)) = self.nodes[index].loading.take() else {
            return;
        };
        let node = &mut self.nodes[index];
        node.held.retain(|held| Some(held) != evict.as_ref());
        if succeeds {
            node.held.push(adapter.clone());
            assert!(node.held.len() <= SLOTS, "too many adapters");
            self.agent(index, AgentInput::Loaded { adapter });
        } else {
            self.agent(index, AgentInput::LoadFailed { adapter, known_absent: true });
        }
    }

    fn grant(&mut self, index: usize) {
        let adapter = adapter(99);
        self.agent(
            index,
            AgentInput::LoadGranted { grant_id: self.now_ms, adapter, hold_ms: 1000 },
        );
    }

    fn drain(&mut self, index: usize) {
        // One agent stays, so that accepted work can end.
        if index == 0 {
            self.nodes[0].drained = true;
            self.agent(0, AgentInput::Drain);
        }
    }

    fn tick(&mut self) {
        self.now_ms += 120;
        for index in 0..2 {
            self.agent(index, AgentInput::Tick);
        }
        self.report();
        self.entry(EntryInput::Tick);
    }

    fn report(&mut self) {
        for index in 0..2 {
            let report = self.nodes[index].core.report(self.now());
            self.entry(EntryInput::Report(report));
        }
    }
}

fn adapter(number: usize) -> AdapterRef {
    format!("a{number}@1").parse().expect("a good reference")
}

fn token(request: &str, adapter: usize, index: u64) -> String {
    format!("{request}-{adapter}-{index} ")
}

fn answer(request: &str, adapter: usize) -> String {
    (0..TOKENS).map(|index| token(request, adapter, index)).collect()
}
