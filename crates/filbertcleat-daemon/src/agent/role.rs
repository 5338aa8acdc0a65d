//! The agent's part of the loop.

mod watch;

use std::collections::HashMap;

use filbertcleat_base::AttemptId;
use filbertcleat_base::Fence;
use filbertcleat_base::MonoTime;
use filbertcleat_config::BackendKind;
use filbertcleat_config::BackendSettings;
use filbertcleat_operate::EventKind;
use filbertcleat_operate::ReplicaStatus;
use filbertcleat_platform::EngineClient;
use filbertcleat_platform::HttpClient;
use filbertcleat_platform::Table;
use filbertcleat_policy::Agent;
use filbertcleat_policy::AgentAction;
use filbertcleat_policy::AgentInput;
use filbertcleat_policy::AgentSettings;
use filbertcleat_policy::AttemptEvent;
use filbertcleat_policy::AttemptEventKind;
use filbertcleat_policy::Priority;
use filbertcleat_policy::RefuseReason;
use filbertcleat_store::Lease;
use filbertcleat_store::LeaseSettings;
use filbertcleat_store::LeaseStep;
use filbertcleat_store::Ownership;
use filbertcleat_store::TableOp;
use filbertcleat_wire::v1;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::AgentEvent;
use super::call::Call;
use super::offered::Offered;
use super::order;
use super::order::LoadOrder;
use crate::convert::event_to_wire;
use crate::convert::report_to_wire;
use crate::input::Input;
use crate::input::tell;
use crate::node::Node;
use crate::turns::TurnStream;

/// The agent's part of the loop: its decisions, and the calls and orders under way.
#[derive(Debug)]
pub(crate) struct AgentRole {
    core: Agent,
    backend: BackendSettings,
    engine: EngineClient,
    client: HttpClient,
    lease: Lease,
    ownership: Ownership,
    attempts: HashMap<AttemptId, Offered>,
    turns: Option<TurnStream>,
    asked_done: u64,
    listed: bool,
    inspecting: bool,
    silent_reports: u32,
    next_report_at: MonoTime,
    next_inspect_at: MonoTime,
    epoch: Option<u64>,
    steps: u64,
    step_places: u64,
    drained: bool,
}

impl AgentRole {
    /// The time between two looks at the engine's report.
    const REPORT_EVERY_MS: u64 = 500;
    /// Reports missing in a row after which the backend server is taken as down.
    const SILENT_REPORTS_MAX: u32 = 3;
    /// A wake-up later than this takes the lease as lapsed.
    pub const PAUSE_MAX_MS: u64 = 3000;

    pub fn new(node: &Node, backend: BackendSettings) -> Self {
        let name = node.name();
        let lease = LeaseSettings::new(format!("lease/{name}"), node.holder());
        let lease =
            LeaseSettings { max_transit_ms: backend.max_transit_ms.as_millis() as u64, ..lease }
                .with_preemption(backend.checks_fence);
        let settings = AgentSettings::new(
            name.clone(),
            backend.service.clone(),
            backend.adapter_slots,
            backend.batch_limit,
        )
        .with_checks_fence(backend.checks_fence);
        let client = HttpClient::new(node.settings.platform.timeout_ms);

        Self {
            core: Agent::new(settings),
            engine: EngineClient::new(client.clone(), &backend.url),
            client,
            lease: Lease::new(lease),
            ownership: Ownership::None,
            attempts: HashMap::new(),
            turns: None,
            asked_done: 0,
            listed: backend.kind == BackendKind::Plain,
            inspecting: false,
            silent_reports: 0,
            next_report_at: MonoTime::ZERO,
            next_inspect_at: MonoTime::ZERO,
            epoch: None,
            steps: 0,
            step_places: 0,
            drained: false,
            backend,
        }
    }

    /// Returns whether the backend server can be called.
    pub fn is_ready(&self) -> bool {
        self.listed && self.silent_reports < Self::SILENT_REPORTS_MAX
    }

    /// Returns whether all accepted work has ended after a stop was asked for.
    pub fn is_drained(&self) -> bool {
        self.drained && self.attempts.is_empty()
    }

    pub fn handle(&mut self, node: &mut Node, event: AgentEvent) {
        match event {
            AgentEvent::Offer { request, events } => self.offer(node, request, events),
            AgentEvent::Cancel { attempt } => {
                self.decide(node, AgentInput::Cancel { attempt: attempt.clone() });
                // A call keeps its cancel handle until it has ended.
                if self.attempts.get(&attempt).is_some_and(|offered| offered.cancel.is_none()) {
                    self.attempts.remove(&attempt);
                }
            }
            AgentEvent::Chunk { attempt, text } => {
                self.decide(node, AgentInput::Chunk { attempt, text });
            }
            AgentEvent::Broken { attempt, fault, resumable } => {
                node.note(
                    EventKind::AttemptBroken,
                    None,
                    format!("attempt={attempt} fault=\"{fault}\""),
                );
                self.decide(node, AgentInput::StreamBroken { attempt, fault, resumable });
            }
            AgentEvent::Ended { attempt, kind } => self.ended(node, &attempt, kind),
            AgentEvent::Loaded { adapter } => {
                node.metrics.count("loads.done", 1);
                node.note(EventKind::Loaded, None, format!("adapter={adapter}"));
                self.decide(node, AgentInput::Loaded { adapter });
            }
            AgentEvent::LoadFailed { adapter, certain, reason } => {
                node.metrics.count("loads.failed", 1);
                let detail = format!("adapter={adapter} certain={certain} reason=\"{reason}\"");
                node.note(EventKind::LoadFailed, None, detail);
                self.decide(node, AgentInput::LoadFailed { adapter, known_absent: certain });
            }
            AgentEvent::Granted { grant, adapter, hold_ms } => {
                node.metrics.count("turns.granted", 1);
                self.decide(node, AgentInput::LoadGranted { grant_id: grant, adapter, hold_ms });
            }
            AgentEvent::KeeperLost { keeper } => {
                if self.turns.as_ref().is_some_and(|turns| turns.keeper == keeper) {
                    self.turns = None;
                    self.decide(node, AgentInput::CoordinatorLost);
                }
            }
            AgentEvent::Listing { listing } => self.listing(node, listing),
            AgentEvent::Load { report } => self.report(node, report),
            AgentEvent::Lease { result } => {
                let now = node.now();
                let step = self.lease.on_result(now, &result);
                if let LeaseStep::Execute(op) = step {
                    ask_lease(node, op);
                }
                self.update_ownership(node);
            }
        }
    }

    pub fn tick(&mut self, node: &mut Node, late_ms: u64) {
        let now = node.now();
        if late_ms > Self::PAUSE_MAX_MS {
            self.lease.expire(now);
        }
        if self.backend.kind == BackendKind::Engine {
            if let Some(op) = self.lease.poll(now) {
                ask_lease(node, op);
            }
            self.update_ownership(node);
            self.watch_engine(node, now);
            self.follow_keeper(node);
        }
        self.decide(node, AgentInput::Tick);
        node.members.set_report(self.core.report(now));
    }

    pub fn configured(&mut self, node: &mut Node) {
        let configuration = node.config.current();
        let input = AgentInput::Config {
            version: configuration.version,
            policy: configuration.policy,
            weights: configuration.weights,
        };
        self.decide(node, input);
    }

    pub fn drain(&mut self, node: &mut Node) {
        if !self.core.is_draining() {
            self.decide(node, AgentInput::Drain);
        }
    }

    /// Gives the lease back, so that a successor need not wait for its end.
    pub async fn release(&mut self, node: &Node) {
        if let Some(op) = self.lease.release() {
            node.table.execute(&op).await;
        }
    }

    pub fn status(&self) -> ReplicaStatus {
        let (queued, running) = self.core.attempt_counts();
        let slots = self.core.calls_by_adapter();
        let lease = match self.ownership {
            Ownership::None => "none".to_owned(),
            Ownership::Held(fence) => format!("held:{fence}"),
            Ownership::Lapsed(fence) => format!("lapsed:{fence}"),
            Ownership::Lost => "lost".to_owned(),
        };
        ReplicaStatus {
            service: self.backend.service.clone(),
            slots: slots.into_iter().map(|(adapter, calls)| format!("{adapter}={calls}")).collect(),
            slot_limit: self.backend.adapter_slots,
            queued,
            running,
            batch_limit: self.backend.batch_limit,
            lease,
        }
    }

    fn offer(
        &mut self,
        node: &mut Node,
        request: Box<v1::AttemptRequest>,
        events: mpsc::UnboundedSender<v1::AttemptEvent>,
    ) {
        node.observe(request.stamp_wall_ms, request.stamp_count);
        let offered = Offered { request, events, cancel: None };
        let now = node.now();
        let Some(offer) = offered.offer(now) else {
            let attempt = AttemptId::new(&offered.request.attempt);
            self.attempts.insert(attempt.clone(), offered);
            let kind = self.refusal(RefuseReason::WrongService);
            self.emit(node, AttemptEvent { attempt, sequence: 0, kind });
            return;
        };

        let detail =
            format!("attempt={} target={} class={}", offer.attempt, offer.target, offer.class);
        node.note(EventKind::Offer, Some(&offered.request_id()), detail);
        self.attempts.insert(offer.attempt.clone(), offered);
        if !self.is_ready() {
            let kind = self.refusal(RefuseReason::BackendDown);
            self.emit(node, AttemptEvent { attempt: offer.attempt, sequence: 0, kind });
            return;
        }
        self.decide(node, AgentInput::Submit(offer));
    }

    fn refusal(&self, reason: RefuseReason) -> AttemptEventKind {
        let config_version = self.core.config_version();
        AttemptEventKind::Refused { reason, retry_after_ms: 1000, config_version }
    }

    fn ended(&mut self, node: &mut Node, attempt: &AttemptId, kind: AttemptEventKind) {
        let word = match &kind {
            AttemptEventKind::Done { .. } | AttemptEventKind::Answer { .. } => "done",
            AttemptEventKind::Refused { .. } => "refused",
            AttemptEventKind::Broken { .. } => "broken",
            AttemptEventKind::Started { .. } | AttemptEventKind::Chunk { .. } => "open",
        };
        let request = self.attempts.get(attempt).map(Offered::request_id);
        node.note(
            EventKind::CallEnded,
            request.as_ref(),
            format!("attempt={attempt} outcome={word}"),
        );
        self.decide(node, AgentInput::CallEnded { attempt: attempt.clone(), kind });
        self.attempts.remove(attempt);
    }

    /// Feeds the decisions and carries out what follows.
    fn decide(&mut self, node: &mut Node, input: AgentInput) {
        let now = node.now();
        for action in self.core.handle(now, input) {
            self.act(node, action);
        }
    }

    fn act(&mut self, node: &mut Node, action: AgentAction) {
        match action {
            AgentAction::Call { attempt, priority, fence } => {
                self.call(node, &attempt, priority, fence);
            }
            AgentAction::CancelCall { attempt } => {
                let cancel =
                    self.attempts.get_mut(&attempt).and_then(|offered| offered.cancel.take());
                if let Some(cancel) = cancel {
                    // A call that has just ended needs no cancelling.
                    let _ = cancel.send(());
                }
            }
            AgentAction::Load { adapter, evict, fence } => {
                let out = evict.as_ref().map_or_else(|| "none".to_owned(), ToString::to_string);
                node.note(EventKind::Load, None, format!("adapter={adapter} evict={out}"));
                let timeout = self.backend.load_timeout_ms;
                let order = LoadOrder { adapter, evict, fence, timeout };
                tokio::spawn(order.run(self.engine.clone(), node.inputs.clone()));
            }
            AgentAction::ListAdapters => self.inspect(node),
            AgentAction::RequestLoads { requests: wants } => self.ask_keeper(node, &wants, 0),
            AgentAction::ReleasePermit { grant_id: grant } => self.ask_keeper(node, &[], grant),
            AgentAction::SendEvent(event) => self.emit(node, event),
            AgentAction::FetchConfig { .. } => node.follow_store_now(),
            AgentAction::EngineRestarted { epoch } => {
                node.note(EventKind::Engine, None, format!("state=restarted epoch={epoch}"));
            }
            AgentAction::Drained => self.drained = true,
        }
    }

    fn call(
        &mut self,
        node: &mut Node,
        attempt: &AttemptId,
        priority: Priority,
        fence: Option<Fence>,
    ) {
        let Some(offered) = self.attempts.get_mut(attempt) else {
            // The entry has dropped the attempt in the meantime.
            let kind = self.refusal(RefuseReason::WrongService);
            tell(&node.inputs, Input::Agent(AgentEvent::Ended { attempt: attempt.clone(), kind }));
            return;
        };
        let (cancel, cancelled) = oneshot::channel();
        offered.cancel = Some(cancel);
        let request = offered.request_id();
        let call = Call {
            attempt: attempt.clone(),
            target: offered.request.target.take(),
            priority,
            fence,
            engine: self.engine.clone(),
            client: self.client.clone(),
            url: self.backend.url.clone(),
            epoch: self.epoch,
            silence: self.backend.idle_timeout_ms,
            inputs: node.inputs.clone(),
            config_version: self.core.config_version(),
        };
        node.metrics.count("calls", 1);
        node.note(EventKind::Call, Some(&request), format!("attempt={attempt}"));
        tokio::spawn(call.run(cancelled));
    }

    fn emit(&mut self, node: &mut Node, event: AttemptEvent) {
        if let AttemptEventKind::Started { load_stall_ms, queue_wait_ms } = &event.kind {
            node.metrics.count("load_stall_ms", *load_stall_ms);
            node.metrics.sample("load_stall", *load_stall_ms);
            node.metrics.sample("queue_wait", *queue_wait_ms);
        }
        let Some(offered) = self.attempts.get(&event.attempt) else {
            return;
        };
        let tells_state = !matches!(event.kind, AttemptEventKind::Chunk { .. });
        let refused = matches!(event.kind, AttemptEventKind::Refused { .. });
        let attempt = event.attempt.clone();
        let mut message = event_to_wire(event);
        if tells_state {
            let stamp = node.stamp();
            message.stamp_wall_ms = stamp.wall_ms;
            message.stamp_count = stamp.count;
            message.replica = Some(report_to_wire(&self.core.report(node.now())));
        }
        // An entry that is gone has dropped the stream, which is told on its own.
        let _ = offered.events.send(message);
        if refused && offered.cancel.is_none() {
            self.attempts.remove(&attempt);
        }
    }

    fn update_ownership(&mut self, node: &mut Node) {
        let ownership = self.lease.ownership(node.now());
        if ownership != self.ownership {
            self.ownership = ownership;
            node.note(EventKind::Lease, None, format!("ownership={ownership:?}"));
            self.decide(node, AgentInput::Ownership(ownership));
        }
    }
}

/// Asks the table service about the lease, and tells the loop the result.
fn ask_lease(node: &Node, op: TableOp) {
    let table = node.table.clone();
    let inputs = node.inputs.clone();
    tokio::spawn(async move {
        let result = table.execute(&op).await;
        tell(&inputs, Input::Agent(AgentEvent::Lease { result }));
    });
}
