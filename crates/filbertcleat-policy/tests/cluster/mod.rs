//! A simulated cluster of one entry and two agents with their engines.
//!
//! Messages stay in flight until a step delivers them, so that they can arrive in any interleaving.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use filbertcleat_base::AdapterRef;
use filbertcleat_base::AttemptId;
use filbertcleat_base::Class;
use filbertcleat_base::ConfigVersion;
use filbertcleat_base::Executed;
use filbertcleat_base::Fault;
use filbertcleat_base::FencingToken;
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

/// The number of tokens in each answer.
const TOKENS: u64 = 4;
/// The number of adapter slots of each engine.
const SLOTS: usize = 2;

/// A request with what the caller and the engines have seen of it.
#[derive(Debug, Default)]
struct RequestState {
    adapter: usize,
    idempotent: bool,
    runs: usize,
    text: String,
    outcome: Option<Outcome>,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Complete,
    Refused(Executed),
}

/// An agent with its simulated engine.
struct SimulatedAgent {
    core: Agent,
    loaded: Vec<AdapterRef>,
    loading: Option<(AdapterRef, Option<AdapterRef>)>,
    calls: BTreeMap<AttemptId, u64>,
    drained: bool,
    calls_after_drain: usize,
}

/// One entry and two agents with the messages in flight between them.
pub struct Cluster {
    now_ms: u64,
    entry: Entry,
    nodes: Vec<SimulatedAgent>,
    requests: BTreeMap<String, RequestState>,
    /// The attempts sent by the entry.
    attempts: BTreeMap<AttemptId, SentAttempt>,
    /// The number of evictions of an adapter that had running calls.
    evictions_in_use: usize,
    next_request: usize,
}

/// An attempt with its request, its agent and the events that the entry has not received yet.
struct SentAttempt {
    request: String,
    node: usize,
    delivered: bool,
    stream_cut: bool,
    events: VecDeque<AttemptEvent>,
}

impl Cluster {
    /// Creates a cluster whose agents hold their leases and have no adapter loaded.
    pub fn new() -> Self {
        let nodes = (0..2).map(|number| {
            let settings =
                AgentSettings::new(format!("agent-{number}").into(), "s".into(), SLOTS, 2);
            SimulatedAgent {
                core: Agent::new(settings),
                loaded: Vec::new(),
                loading: None,
                calls: BTreeMap::new(),
                drained: false,
                calls_after_drain: 0,
            }
        });
        let mut cluster = Self {
            now_ms: 1,
            entry: Entry::new(EntrySettings { node: "entry".into(), seed: 3 }),
            nodes: nodes.collect(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            evictions_in_use: 0,
            next_request: 0,
        };
        for node in 0..2 {
            cluster.handle_agent(
                node,
                AgentInput::EngineListed(EngineState { epoch: 1, adapters: Vec::new() }),
            );
            cluster
                .handle_agent(node, AgentInput::Ownership(Ownership::Held(FencingToken::new(1))));
        }
        cluster.publish_reports();
        cluster
    }

    /// Carries out one event, selected by `choice`.
    pub fn step(&mut self, choice: u16) {
        let pick = usize::from(choice / 16);
        match choice % 16 {
            0..=2 => self.submit_request(pick),
            3..=4 => self.deliver_attempt(pick),
            5..=7 => self.produce_token(pick),
            8..=9 => self.deliver_event(pick),
            10 => self.finish_load(pick, true),
            11 => self.grant_permit(pick % 2),
            12 if pick.is_multiple_of(4) => self.cut_stream(pick),
            13 if pick.is_multiple_of(4) => self.finish_load(pick, false),
            14 if pick.is_multiple_of(64) => self.drain_agent(pick % 2),
            _ => self.tick(),
        }
    }

    /// Carries out events, without new requests or failures, until all requests have ended.
    pub fn run_until_idle(&mut self) {
        for round in 0..4000 {
            if self.open_requests() == 0 {
                return;
            }
            for choice in [3, 5, 8, 10, 11, 11 + 16, 15] {
                self.step(choice + 16 * ((round * 7) % 100));
            }
        }
    }

    /// Returns the number of requests that have not ended.
    pub fn open_requests(&self) -> usize {
        self.requests.values().filter(|request| request.outcome.is_none()).count()
    }

    /// Fails if a guarantee to the callers has been violated.
    pub fn check_invariants(&self) -> Result<(), TestCaseError> {
        let fail = |reason: String| Err(TestCaseError::fail(reason));
        if self.evictions_in_use > 0 {
            return fail("an adapter in use was evicted".to_owned());
        }
        if self.nodes.iter().any(|node| node.calls_after_drain > 0) {
            return fail("a draining agent started a call".to_owned());
        }
        for (name, request) in &self.requests {
            let expected = answer(name, request.adapter);
            if !expected.starts_with(&request.text) {
                return fail(format!("{name} received {:?}", request.text));
            }
            if !request.idempotent && request.runs > 1 {
                return fail(format!("{name} ran {} times", request.runs));
            }
            match request.outcome {
                Some(Outcome::Complete) if request.text != expected => {
                    return fail(format!("{name} has an incomplete answer"));
                }
                Some(Outcome::Refused(Executed::No)) if request.runs > 0 => {
                    return fail(format!("{name} was run but refused as not run"));
                }
                Some(_) | None => {}
            }
        }
        Ok(())
    }

    fn now(&self) -> MonoTime {
        MonoTime::from_ms(self.now_ms)
    }

    fn submit_request(&mut self, pick: usize) {
        if self.next_request >= 24 {
            return;
        }
        let name = format!("r{}", self.next_request);
        self.next_request += 1;
        let request = RequestState {
            adapter: pick % 5,
            idempotent: !pick.is_multiple_of(3),
            ..RequestState::default()
        };
        let caller_request = CallerRequest {
            id: name.as_str().into(),
            service: "s".into(),
            target: Target::Adapter(adapter(request.adapter)),
            class: if pick.is_multiple_of(2) { Class::KeyAccount } else { Class::Routine },
            idempotent: request.idempotent,
            has_idempotency_key: false,
        };
        self.requests.insert(name, request);
        self.handle_entry(EntryInput::Request(caller_request));
    }

    fn handle_entry(&mut self, input: EntryInput) {
        for action in self.entry.handle(self.now(), input) {
            match action {
                EntryAction::Send(outbound) => {
                    let node = usize::from(outbound.node.as_str() == "agent-1");
                    let request = outbound.request.to_string();
                    let events = VecDeque::new();
                    let sent_attempt =
                        SentAttempt { request, node, delivered: false, stream_cut: false, events };
                    self.attempts.insert(outbound.attempt, sent_attempt);
                }
                EntryAction::CancelAttempt { attempt } => self.cancel(&attempt),
                EntryAction::DeliverChunk { request, text } => {
                    if let Some(request) = self.requests.get_mut(request.as_str()) {
                        request.text.push_str(&text);
                    }
                }
                EntryAction::FinishAnswer { request, .. } => {
                    self.end_request(request.as_str(), Outcome::Complete);
                }
                EntryAction::Refuse { request, refusal } => {
                    self.end_request(request.as_str(), Outcome::Refused(refusal.executed));
                }
                EntryAction::Claim { .. }
                | EntryAction::CompleteClaim { .. }
                | EntryAction::RecordAnswer { .. }
                | EntryAction::ReplayAnswer { .. }
                | EntryAction::CallStarted { .. }
                | EntryAction::AttemptRefused { .. }
                | EntryAction::DeliverAnswer { .. } => {}
            }
        }
    }

    fn end_request(&mut self, name: &str, outcome: Outcome) {
        if let Some(request) = self.requests.get_mut(name) {
            assert!(request.outcome.is_none(), "{name} ended twice");
            request.outcome = Some(outcome);
        }
    }

    fn handle_agent(&mut self, index: usize, input: AgentInput) {
        let now = self.now();
        for action in self.nodes[index].core.handle(now, input) {
            match action {
                AgentAction::Call { attempt, .. } => self.start_call(index, &attempt),
                AgentAction::CancelCall { attempt } => {
                    self.nodes[index].calls.remove(&attempt);
                    let fault = Fault::new(Step::Stream, "engine", "cancelled");
                    let kind = AttemptEventKind::Broken { fault, resumable: false };
                    self.handle_agent(index, AgentInput::CallEnded { attempt, kind });
                }
                AgentAction::Load { adapter, evict, .. } => {
                    let serving = |evict: &AdapterRef| {
                        self.nodes[index]
                            .calls
                            .keys()
                            .any(|attempt| self.adapter_of(attempt) == *evict)
                    };
                    if evict.as_ref().is_some_and(serving) {
                        self.evictions_in_use += 1;
                    }
                    self.nodes[index].loading = Some((adapter, evict));
                }
                AgentAction::SendEvent(event) => {
                    if let Some(sent_attempt) = self.attempts.get_mut(&event.attempt) {
                        sent_attempt.events.push_back(event);
                    }
                }
                AgentAction::ListAdapters => {
                    let loaded = self.nodes[index].loaded.iter().cloned();
                    let adapters =
                        loaded.map(|adapter| LoadedAdapter { adapter, running_calls: 0 }).collect();
                    self.handle_agent(
                        index,
                        AgentInput::EngineListed(EngineState { epoch: 1, adapters }),
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

    fn start_call(&mut self, index: usize, attempt: &AttemptId) {
        let request = &self.attempts[attempt].request;
        let node = &mut self.nodes[index];
        node.calls_after_drain += usize::from(node.drained);
        node.calls.insert(attempt.clone(), 0);
        if let Some(request) = self.requests.get_mut(request) {
            request.runs += 1;
        }
        let adapter = self.adapter_of(attempt);
        assert!(
            self.nodes[index].loaded.contains(&adapter),
            "a call for an adapter that is not loaded"
        );
    }

    fn adapter_of(&self, attempt: &AttemptId) -> AdapterRef {
        adapter(self.requests[&self.attempts[attempt].request].adapter)
    }

    fn deliver_attempt(&mut self, pick: usize) {
        let undelivered: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, sent_attempt)| !sent_attempt.delivered && !sent_attempt.stream_cut)
            .collect();
        let Some(attempt) =
            undelivered.get(pick % undelivered.len().max(1)).map(|(attempt, _)| (*attempt).clone())
        else {
            return;
        };
        let adapter = self.adapter_of(&attempt);
        let Some(sent_attempt) = self.attempts.get_mut(&attempt) else {
            return;
        };
        sent_attempt.delivered = true;
        let node = sent_attempt.node;
        let attempt_request = AttemptRequest {
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
        self.handle_agent(node, AgentInput::Submit(attempt_request));
    }

    fn produce_token(&mut self, pick: usize) {
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
            self.handle_agent(node, AgentInput::Chunk { attempt, text });
        } else {
            self.nodes[node].calls.remove(&attempt);
            let kind = AttemptEventKind::Done { finish_reason: "stop".to_owned(), tokens: TOKENS };
            self.handle_agent(node, AgentInput::CallEnded { attempt, kind });
        }
    }

    fn deliver_event(&mut self, pick: usize) {
        let ready: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, sent_attempt)| !sent_attempt.stream_cut && !sent_attempt.events.is_empty())
            .collect();
        let Some(attempt) =
            ready.get(pick % ready.len().max(1)).map(|(attempt, _)| (*attempt).clone())
        else {
            return;
        };
        let event = self
            .attempts
            .get_mut(&attempt)
            .and_then(|sent_attempt| sent_attempt.events.pop_front());
        if let Some(event) = event {
            self.handle_entry(EntryInput::Event(event));
        }
    }

    /// Cuts the stream of an attempt: the entry loses the attempt, and the agent sees it cancelled.
    fn cut_stream(&mut self, pick: usize) {
        let open: Vec<_> =
            self.attempts.iter().filter(|(_, sent_attempt)| !sent_attempt.stream_cut).collect();
        let Some((attempt, sent)) = open
            .get(pick % open.len().max(1))
            .map(|(attempt, sent_attempt)| ((*attempt).clone(), sent_attempt.delivered))
        else {
            return;
        };
        self.cancel(&attempt);
        let fault = Fault::new(Step::Stream, "agent", "cut");
        self.handle_entry(EntryInput::AttemptLost { attempt, maybe_sent: sent, fault });
    }

    fn cancel(&mut self, attempt: &AttemptId) {
        let Some(sent_attempt) = self.attempts.get_mut(attempt) else {
            return;
        };
        sent_attempt.stream_cut = true;
        let (node, delivered) = (sent_attempt.node, sent_attempt.delivered);
        if delivered {
            self.handle_agent(node, AgentInput::Cancel { attempt: attempt.clone() });
        }
    }

    fn finish_load(&mut self, pick: usize, succeeds: bool) {
        let index = pick % 2;
        let Some((adapter, evict)) = self.nodes[index].loading.take() else {
            return;
        };
        let node = &mut self.nodes[index];
        node.loaded.retain(|loaded| Some(loaded) != evict.as_ref());
        if succeeds {
            node.loaded.push(adapter.clone());
            assert!(node.loaded.len() <= SLOTS, "more adapters than slots");
            self.handle_agent(index, AgentInput::Loaded { adapter });
        } else {
            self.handle_agent(index, AgentInput::LoadFailed { adapter, known_absent: true });
        }
    }

    fn grant_permit(&mut self, index: usize) {
        let adapter = adapter(99);
        self.handle_agent(
            index,
            AgentInput::LoadGranted { grant_id: self.now_ms, adapter, hold_ms: 1000 },
        );
    }

    fn drain_agent(&mut self, index: usize) {
        // Only the first agent drains, so that the second one can finish the accepted requests.
        if index == 0 {
            self.nodes[0].drained = true;
            self.handle_agent(0, AgentInput::Drain);
        }
    }

    fn tick(&mut self) {
        self.now_ms += 120;
        for index in 0..2 {
            self.handle_agent(index, AgentInput::Tick);
        }
        self.publish_reports();
        self.handle_entry(EntryInput::Tick);
    }

    fn publish_reports(&mut self) {
        for index in 0..2 {
            let report = self.nodes[index].core.report(self.now());
            self.handle_entry(EntryInput::Report(report));
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
