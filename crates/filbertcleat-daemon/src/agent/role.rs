//! The agent's part of the event loop.

mod monitor;

use std::collections::HashMap;

use filbertcleat_base::AttemptId;
use filbertcleat_base::FencingToken;
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
use super::call::BackendCall;
use super::order;
use super::order::LoadOrder;
use super::received_attempt::ReceivedAttempt;
use crate::convert::event_to_wire;
use crate::convert::report_to_wire;
use crate::load_permits::LoadPermitClient;
use crate::loop_event::LoopEvent;
use crate::loop_event::send_to_loop;
use crate::node::Node;

/// The agent's part of the event loop: feeds the agent's state machine and carries out its actions.
#[derive(Debug)]
pub(crate) struct AgentRole {
    state_machine: Agent,
    backend: BackendSettings,
    engine: EngineClient,
    client: HttpClient,
    lease: Lease,
    ownership: Ownership,
    attempts: HashMap<AttemptId, ReceivedAttempt>,
    /// The stream to the load coordinator, while one is open.
    load_permits: Option<LoadPermitClient>,
    /// Whether the engine's loaded adapters are known; always true for a plain backend server.
    adapters_known: bool,
    /// Whether a query of the engine's adapters is in progress.
    listing_adapters: bool,
    /// The number of queries of the engine's statistics that have failed in a row.
    failed_stats_queries: u32,
    next_stats_at: MonoTime,
    next_listing_at: MonoTime,
    engine_epoch: Option<u64>,
    /// The engine's step counter in its last statistics.
    reported_steps: u64,
    /// The engine's total of calls over the batches of all steps in its last statistics.
    reported_batched_calls: u64,
    /// Whether the state machine has ended all accepted work after a drain.
    drained: bool,
}

impl AgentRole {
    /// The interval between queries of the engine's statistics or adapters.
    const ENGINE_POLL_INTERVAL_MS: u64 = 500;
    /// Failed queries of the statistics in a row after which the backend server counts as down.
    const FAILED_STATS_QUERIES_MAX: u32 = 3;
    /// A tick that comes later than this marks the lease as lapsed, as the process was suspended.
    pub const TICK_DELAY_MAX_MS: u64 = 3000;

    pub fn new(node: &Node, backend: BackendSettings) -> Self {
        let name = node.name();
        let lease = LeaseSettings::new(format!("lease/{name}"), node.holder_id());
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
            state_machine: Agent::new(settings),
            engine: EngineClient::new(client.clone(), &backend.url),
            client,
            lease: Lease::new(lease),
            ownership: Ownership::None,
            attempts: HashMap::new(),
            load_permits: None,
            adapters_known: backend.kind == BackendKind::Plain,
            listing_adapters: false,
            failed_stats_queries: 0,
            next_stats_at: MonoTime::ZERO,
            next_listing_at: MonoTime::ZERO,
            engine_epoch: None,
            reported_steps: 0,
            reported_batched_calls: 0,
            drained: false,
            backend,
        }
    }

    /// Returns whether the backend server is up and its adapters are known.
    pub fn is_ready(&self) -> bool {
        self.adapters_known && self.failed_stats_queries < Self::FAILED_STATS_QUERIES_MAX
    }

    /// Returns whether a drain was requested and all accepted attempts have ended.
    pub fn is_drained(&self) -> bool {
        self.drained && self.attempts.is_empty()
    }

    /// Handles an event of a task.
    pub fn handle(&mut self, node: &mut Node, event: AgentEvent) {
        match event {
            AgentEvent::AttemptReceived { request, events } => self.submit(node, request, events),
            AgentEvent::AttemptCancelled { attempt } => {
                self.handle_input(node, AgentInput::Cancel { attempt: attempt.clone() });
                // An attempt whose call can still be cancelled stays until the call has ended.
                if self.attempts.get(&attempt).is_some_and(|received| received.cancel.is_none()) {
                    self.attempts.remove(&attempt);
                }
            }
            AgentEvent::Chunk { attempt, text } => {
                self.handle_input(node, AgentInput::Chunk { attempt, text });
            }
            AgentEvent::StreamBroken { attempt, fault, resumable } => {
                node.record_event(
                    EventKind::AttemptBroken,
                    None,
                    format!("attempt={attempt} fault=\"{fault}\""),
                );
                self.handle_input(node, AgentInput::StreamBroken { attempt, fault, resumable });
            }
            AgentEvent::CallEnded { attempt, kind } => self.end_call(node, &attempt, kind),
            AgentEvent::Loaded { adapter } => {
                node.metrics.count("loads.done", 1);
                node.record_event(EventKind::Loaded, None, format!("adapter={adapter}"));
                self.handle_input(node, AgentInput::Loaded { adapter });
            }
            AgentEvent::LoadFailed { adapter, known_absent, reason } => {
                node.metrics.count("loads.failed", 1);
                let detail =
                    format!("adapter={adapter} certain={known_absent} reason=\"{reason}\"");
                node.record_event(EventKind::LoadFailed, None, detail);
                self.handle_input(node, AgentInput::LoadFailed { adapter, known_absent });
            }
            AgentEvent::LoadGranted { grant_id, adapter, hold_ms } => {
                node.metrics.count("turns.granted", 1);
                self.handle_input(node, AgentInput::LoadGranted { grant_id, adapter, hold_ms });
            }
            AgentEvent::CoordinatorLost { coordinator } => {
                if self
                    .load_permits
                    .as_ref()
                    .is_some_and(|client| client.coordinator == coordinator)
                {
                    self.load_permits = None;
                    self.handle_input(node, AgentInput::CoordinatorLost);
                }
            }
            AgentEvent::AdapterList { listing } => self.apply_adapter_list(node, listing),
            AgentEvent::EngineStats { stats } => self.apply_engine_stats(node, stats),
            AgentEvent::LeaseResult { result } => {
                let now = node.now();
                let step = self.lease.on_result(now, &result);
                if let LeaseStep::Execute(op) = step {
                    run_lease_op(node, op);
                }
                self.update_ownership(node);
            }
        }
    }

    /// Advances the lease, the queries of the engine and the state machine.
    ///
    /// `elapsed_ms` is the time since the last tick.
    pub fn tick(&mut self, node: &mut Node, elapsed_ms: u64) {
        let now = node.now();
        if elapsed_ms > Self::TICK_DELAY_MAX_MS {
            self.lease.expire(now);
        }
        if self.backend.kind == BackendKind::Engine {
            if let Some(op) = self.lease.poll(now) {
                run_lease_op(node, op);
            }
            self.update_ownership(node);
            self.poll_engine(node, now);
            self.follow_coordinator(node);
        }
        self.handle_input(node, AgentInput::Tick);
        node.members.set_report(self.state_machine.report(now));
    }

    /// Applies a new version of the configuration.
    pub fn apply_config(&mut self, node: &mut Node) {
        let configuration = node.config.current();
        let input = AgentInput::Config {
            version: configuration.version,
            policy: configuration.policy,
            weights: configuration.weights,
        };
        self.handle_input(node, input);
    }

    /// Begins to refuse new attempts and to end the accepted ones.
    pub fn drain(&mut self, node: &mut Node) {
        if !self.state_machine.is_draining() {
            self.handle_input(node, AgentInput::Drain);
        }
    }

    /// Releases the lease, so that a successor need not wait until it expires.
    pub async fn release(&mut self, node: &Node) {
        if let Some(op) = self.lease.release() {
            node.table.execute(&op).await;
        }
    }

    /// Returns the status of the backend server for operators.
    pub fn status(&self) -> ReplicaStatus {
        let (queued, running) = self.state_machine.attempt_counts();
        let slots = self.state_machine.calls_by_adapter();
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

    fn submit(
        &mut self,
        node: &mut Node,
        request: Box<v1::AttemptRequest>,
        events: mpsc::UnboundedSender<v1::AttemptEvent>,
    ) {
        node.observe(request.stamp_wall_ms, request.stamp_count);
        let received = ReceivedAttempt { request, events, cancel: None };
        let now = node.now();
        let Some(parsed) = received.parse(now) else {
            let attempt = AttemptId::new(&received.request.attempt);
            self.attempts.insert(attempt.clone(), received);
            let kind = self.refusal(RefuseReason::WrongService);
            self.send_event(node, AttemptEvent { attempt, sequence: 0, kind });
            return;
        };

        let detail =
            format!("attempt={} target={} class={}", parsed.attempt, parsed.target, parsed.class);
        node.record_event(EventKind::AttemptReceived, Some(&received.request_id()), detail);
        self.attempts.insert(parsed.attempt.clone(), received);
        if !self.is_ready() {
            let kind = self.refusal(RefuseReason::BackendDown);
            self.send_event(node, AttemptEvent { attempt: parsed.attempt, sequence: 0, kind });
            return;
        }
        self.handle_input(node, AgentInput::Submit(parsed));
    }

    fn refusal(&self, reason: RefuseReason) -> AttemptEventKind {
        let config_version = self.state_machine.config_version();
        AttemptEventKind::Refused { reason, retry_after_ms: 1000, config_version }
    }

    fn end_call(&mut self, node: &mut Node, attempt: &AttemptId, kind: AttemptEventKind) {
        let outcome = match &kind {
            AttemptEventKind::Done { .. } | AttemptEventKind::Answer { .. } => "done",
            AttemptEventKind::Refused { .. } => "refused",
            AttemptEventKind::Broken { .. } => "broken",
            AttemptEventKind::Started { .. } | AttemptEventKind::Chunk { .. } => "open",
        };
        let request = self.attempts.get(attempt).map(ReceivedAttempt::request_id);
        node.record_event(
            EventKind::CallEnded,
            request.as_ref(),
            format!("attempt={attempt} outcome={outcome}"),
        );
        self.handle_input(node, AgentInput::CallEnded { attempt: attempt.clone(), kind });
        self.attempts.remove(attempt);
    }

    /// Feeds an input to the state machine and carries out the resulting actions.
    fn handle_input(&mut self, node: &mut Node, input: AgentInput) {
        let now = node.now();
        for action in self.state_machine.handle(now, input) {
            self.execute(node, action);
        }
    }

    fn execute(&mut self, node: &mut Node, action: AgentAction) {
        match action {
            AgentAction::Call { attempt, priority, fence } => {
                self.call(node, &attempt, priority, fence);
            }
            AgentAction::CancelCall { attempt } => {
                let cancel =
                    self.attempts.get_mut(&attempt).and_then(|received| received.cancel.take());
                if let Some(cancel) = cancel {
                    // The call may have ended in the meantime.
                    let _ = cancel.send(());
                }
            }
            AgentAction::Load { adapter, evict, fence } => {
                let evicted = evict.as_ref().map_or_else(|| "none".to_owned(), ToString::to_string);
                node.record_event(
                    EventKind::Load,
                    None,
                    format!("adapter={adapter} evict={evicted}"),
                );
                let timeout = self.backend.load_timeout_ms;
                let order = LoadOrder { adapter, evict, fence, timeout };
                tokio::spawn(order.run(self.engine.clone(), node.loop_sender.clone()));
            }
            AgentAction::ListAdapters => self.list_adapters(node),
            AgentAction::RequestLoads { requests } => {
                self.send_load_requests(node, &requests, 0);
            }
            AgentAction::ReleasePermit { grant_id } => {
                self.send_load_requests(node, &[], grant_id);
            }
            AgentAction::SendEvent(event) => self.send_event(node, event),
            AgentAction::FetchConfig { .. } => node.fetch_config_from_store(),
            AgentAction::EngineRestarted { epoch } => {
                node.record_event(
                    EventKind::Engine,
                    None,
                    format!("state=restarted epoch={epoch}"),
                );
            }
            AgentAction::Drained => self.drained = true,
        }
    }

    fn call(
        &mut self,
        node: &mut Node,
        attempt: &AttemptId,
        priority: Priority,
        fence: Option<FencingToken>,
    ) {
        let Some(received) = self.attempts.get_mut(attempt) else {
            // The entry has cancelled the attempt in the meantime.
            let kind = self.refusal(RefuseReason::WrongService);
            send_to_loop(
                &node.loop_sender,
                LoopEvent::Agent(AgentEvent::CallEnded { attempt: attempt.clone(), kind }),
            );
            return;
        };
        let (cancel, cancelled) = oneshot::channel();
        received.cancel = Some(cancel);
        let request = received.request_id();
        let call = BackendCall {
            attempt: attempt.clone(),
            target: received.request.target.take(),
            priority,
            fence,
            engine: self.engine.clone(),
            client: self.client.clone(),
            url: self.backend.url.clone(),
            engine_epoch: self.engine_epoch,
            idle_timeout: self.backend.idle_timeout_ms,
            loop_sender: node.loop_sender.clone(),
            config_version: self.state_machine.config_version(),
        };
        node.metrics.count("calls", 1);
        node.record_event(EventKind::Call, Some(&request), format!("attempt={attempt}"));
        tokio::spawn(call.run(cancelled));
    }

    fn send_event(&mut self, node: &mut Node, event: AttemptEvent) {
        if let AttemptEventKind::Started { load_stall_ms, queue_wait_ms } = &event.kind {
            node.metrics.count("load_stall_ms", *load_stall_ms);
            node.metrics.sample("load_stall", *load_stall_ms);
            node.metrics.sample("queue_wait", *queue_wait_ms);
        }
        let Some(received) = self.attempts.get(&event.attempt) else {
            return;
        };
        let carries_report = !matches!(event.kind, AttemptEventKind::Chunk { .. });
        let refused = matches!(event.kind, AttemptEventKind::Refused { .. });
        let attempt = event.attempt.clone();
        let mut message = event_to_wire(event);
        if carries_report {
            let stamp = node.stamp();
            message.stamp_wall_ms = stamp.wall_ms;
            message.stamp_count = stamp.count;
            message.replica = Some(report_to_wire(&self.state_machine.report(node.now())));
        }
        // If the entry has dropped the stream, `NotifyOnDrop` cancels the attempt.
        let _ = received.events.send(message);
        if refused && received.cancel.is_none() {
            self.attempts.remove(&attempt);
        }
    }

    fn update_ownership(&mut self, node: &mut Node) {
        let ownership = self.lease.ownership(node.now());
        if ownership != self.ownership {
            self.ownership = ownership;
            let name = ownership_name(ownership);
            node.record_event(EventKind::Lease, None, format!("ownership={name}"));
            self.handle_input(node, AgentInput::Ownership(ownership));
        }
    }
}

/// Runs an operation on the lease at the table service and sends its result to the event loop.
fn run_lease_op(node: &Node, op: TableOp) {
    let table = node.table.clone();
    let loop_sender = node.loop_sender.clone();
    tokio::spawn(async move {
        let result = table.execute(&op).await;
        send_to_loop(&loop_sender, LoopEvent::Agent(AgentEvent::LeaseResult { result }));
    });
}

/// Returns the text of an ownership in the timeline, part of the operators' interface.
fn ownership_name(ownership: Ownership) -> String {
    match ownership {
        Ownership::None => "None".to_owned(),
        Ownership::Held(fence) => format!("Held(Fence({fence}))"),
        Ownership::Lapsed(fence) => format!("Lapsed(Fence({fence}))"),
        Ownership::Lost => "Lost".to_owned(),
    }
}
