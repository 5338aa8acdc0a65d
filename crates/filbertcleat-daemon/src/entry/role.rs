//! The entry's part of the event loop.

mod call;
mod claiming;
mod patch;
mod peers;

use std::collections::HashMap;
use std::sync::Arc;

use filbertcleat_base::AttemptId;
use filbertcleat_base::NodeName;
use filbertcleat_base::RequestId;
use filbertcleat_member::MemberRecord;
use filbertcleat_member::MemberState;
use filbertcleat_operate::EventKind;
use filbertcleat_policy::CallerRequest;
use filbertcleat_policy::Entry;
use filbertcleat_policy::EntryAction;
use filbertcleat_policy::EntryInput;
use filbertcleat_policy::EntrySettings;
use filbertcleat_policy::OutboundAttempt;
use filbertcleat_policy::Target;
use filbertcleat_wire::v1;
use tokio::sync::oneshot;

use self::call::is_idempotent;
use self::call::resolve;
use self::call::target;
use self::patch::submit_patch;
use self::peers::is_running;
use self::peers::live_entries;
use self::peers::processes;
use super::CallerContext;
use super::EntryEvent;
use super::claims;
use super::event::ClaimResult;
use super::event::ProcessInfo;
use super::outgoing_attempt::OutgoingAttempt;
use super::pending_request::CallerEvent;
use super::pending_request::PendingRequest;
use super::pending_request::RequestPayload;
use super::pending_request::ResolvedTarget;
use super::pending_request::StoredAnswer;
use crate::convert::event_from_wire;
use crate::convert::report_from_wire;
use crate::loop_event::LoopEvent;
use crate::loop_event::send_to_loop;
use crate::node::Node;

/// The entry's part of the event loop: feeds the entry's state machine and carries out its actions.
#[derive(Debug)]
pub(crate) struct EntryRole {
    state_machine: Entry,
    caller_context: CallerContext,
    pending: HashMap<RequestId, PendingRequest>,
    /// The channels that abort the attempts in progress.
    aborts: HashMap<AttemptId, oneshot::Sender<()>>,
    draining_since_ms: Option<u64>,
}

impl EntryRole {
    /// The largest answer that is stored for retries with the same idempotency key.
    const STORED_ANSWER_MAX_BYTES: usize = 256 * 1024;

    pub fn new(node: &Node, caller_context: CallerContext) -> Self {
        let seed = filbertcleat_base::mix_hashes(
            node.incarnation,
            filbertcleat_base::stable_hash(node.name().as_str()),
        );
        Self {
            state_machine: Entry::new(EntrySettings { node: node.name().clone(), seed }),
            caller_context,
            pending: HashMap::new(),
            aborts: HashMap::new(),
            draining_since_ms: None,
        }
    }

    /// Returns the number of requests that are not answered yet.
    pub fn in_flight(&self) -> usize {
        self.state_machine.in_flight()
    }

    pub fn caller_context(&self) -> &CallerContext {
        &self.caller_context
    }

    /// Begins to drain: reports this entry as not ready to the platform's balancer.
    pub fn drain(&mut self, node: &Node) {
        self.caller_context.set_ready(false);
        self.draining_since_ms.get_or_insert(node.now().as_ms());
    }

    /// Returns whether the balancer has had time to stop sending and all requests have ended.
    pub fn is_drained(&self, node: &Node) -> bool {
        let lag_ms = node.settings.drain.balancer_lag_ms.as_millis() as u64;
        let is_lag_over =
            self.draining_since_ms.is_some_and(|since_ms| node.now().as_ms() >= since_ms + lag_ms);
        is_lag_over && self.pending.is_empty()
    }

    /// Handles an event of a task.
    pub fn handle(&mut self, node: &mut Node, event: EntryEvent) {
        match event {
            EntryEvent::RequestArrived(pending) => self.submit(node, *pending),
            EntryEvent::CallerDisconnected { request } => {
                node.record_event(EventKind::CallerGone, Some(&request), String::new());
                self.handle_input(
                    node,
                    EntryInput::CallerDisconnected { request: request.clone() },
                );
                self.pending.remove(&request);
            }
            EntryEvent::AttemptEvent { event, node: from } => {
                self.apply_attempt_event(node, event, from);
            }
            EntryEvent::AttemptLost { attempt, maybe_sent, fault } => {
                self.aborts.remove(&attempt);
                node.record_event(
                    EventKind::AttemptBroken,
                    None,
                    format!("attempt={attempt} sent={maybe_sent} fault=\"{fault}\""),
                );
                self.handle_input(node, EntryInput::AttemptLost { attempt, maybe_sent, fault });
            }
            EntryEvent::ClaimDecided { request, result } => {
                self.apply_claim_result(node, &request, result);
            }
            EntryEvent::IsHolderRunning { holder, reply } => {
                let _ = reply.send(is_running(node, &holder));
            }
            EntryEvent::LiveEntryCount { reply } => {
                let _ = reply.send(live_entries(node));
            }
            EntryEvent::SubmitPatch { patch, reply } => submit_patch(node, patch, reply),
            EntryEvent::Configuration { reply } => {
                // The connection that queried may be closed.
                let _ = reply.send(Arc::clone(node.config.current()));
            }
            EntryEvent::ListProcesses { reply } => {
                let _ = reply.send(processes(node));
            }
            EntryEvent::Drain { node: name, operator, reply } => {
                node.record_event(EventKind::Drain, None, format!("of={name} operator={operator}"));
                let _ = reply.send(node.address(&name));
            }
        }
    }

    /// Advances the state machine to the current time.
    pub fn tick(&mut self, node: &mut Node) {
        self.handle_input(node, EntryInput::Tick);
    }

    /// Applies a new version of the configuration.
    pub fn apply_config(&mut self, node: &mut Node) {
        let configuration = node.config.current();
        let input =
            EntryInput::Config { limits: configuration.limits, policy: configuration.policy };
        self.handle_input(node, input);
    }

    /// Applies a changed membership record.
    pub fn apply_member_record(&mut self, node: &mut Node, record: &MemberRecord) {
        let count = live_entries(node);
        self.handle_input(node, EntryInput::EntryCount { count });
        let liveness = record.state.liveness();
        self.handle_input(node, EntryInput::Liveness { node: record.name.clone(), liveness });
        if record.state != MemberState::Gone
            && let Some(report) = &record.replica
        {
            self.handle_input(node, EntryInput::Report(report.clone()));
        }
    }

    /// Resolves a new request and passes it to the state machine.
    fn submit(&mut self, node: &mut Node, mut pending: PendingRequest) {
        let resolved = match resolve(node, &pending) {
            Ok(resolved) => resolved,
            Err(message) => {
                node.metrics.count("refused.unknown", 1);
                let _ = pending.reply.send(CallerEvent::NotFound(message));
                return;
            }
        };
        let target = match &resolved.adapter {
            Some(adapter) => Target::Adapter(adapter.clone()),
            None => Target::Plain,
        };
        let detail =
            format!("service={} target={target} class={}", resolved.service, pending.class);
        node.record_event(EventKind::Arrive, Some(&pending.request), detail);
        node.metrics.count("requests", 1);

        let request = CallerRequest {
            id: pending.request.clone(),
            service: resolved.service.clone(),
            target,
            class: pending.class,
            idempotent: is_idempotent(node, &pending, &resolved),
            has_idempotency_key: pending.idempotency_key.is_some(),
        };
        let model = resolved.adapter.as_ref().map(ToString::to_string).unwrap_or_default();
        let _ = pending.reply.send(CallerEvent::Accepted { model });
        pending.resolved = Some(resolved);
        self.pending.insert(pending.request.clone(), pending);
        self.handle_input(node, EntryInput::Request(request));
    }

    fn apply_attempt_event(
        &mut self,
        node: &mut Node,
        mut event: v1::AttemptEvent,
        from: NodeName,
    ) {
        node.observe(event.stamp_wall_ms, event.stamp_count);
        if let Some(status) = event.replica.take() {
            let report = report_from_wire(from, status);
            node.members.observe_report(&report);
            self.handle_input(node, EntryInput::Report(report));
        }
        let Some(event) = event_from_wire(event) else {
            node.metrics.count("attempts.unreadable", 1);
            return;
        };
        if event.kind.is_terminal() {
            self.aborts.remove(&event.attempt);
        }
        self.handle_input(node, EntryInput::Event(event));
    }

    /// Feeds an input to the state machine and carries out the resulting actions.
    fn handle_input(&mut self, node: &mut Node, input: EntryInput) {
        let now = node.now();
        for action in self.state_machine.handle(now, input) {
            self.execute(node, action);
        }
    }

    fn execute(&mut self, node: &mut Node, action: EntryAction) {
        match action {
            EntryAction::Claim { request } => self.claim(node, &request),
            EntryAction::CompleteClaim { request, executed } => {
                self.complete_claim(node, &request, Some(executed));
            }
            EntryAction::RecordAnswer { request, status, content_type, body } => {
                self.store_answer(node, &request, status, &content_type, &body);
            }
            EntryAction::ReplayAnswer { request } => self.replay_answer(&request),
            EntryAction::Send(outbound) => self.send_attempt(node, &outbound),
            EntryAction::CancelAttempt { attempt } => {
                if let Some(abort) = self.aborts.remove(&attempt) {
                    // The attempt may have ended in the meantime.
                    let _ = abort.send(());
                }
            }
            EntryAction::CallStarted { request, node: at, load_stall_ms, queue_wait_ms } => {
                let detail =
                    format!("at={at} load_stall_ms={load_stall_ms} queue_wait_ms={queue_wait_ms}");
                node.record_event(EventKind::Call, Some(&request), detail);
            }
            EntryAction::AttemptRefused { node: at, reason, config_version } => {
                node.metrics.count("attempts.refused", 1);
                log::debug!("event=attempt-refused at={at} reason={}", reason.as_str());
                if config_version > node.config.version() {
                    node.fetch_config_from_store();
                }
            }
            EntryAction::DeliverChunk { request, text } => {
                if let Some(pending) = self.pending.get(&request) {
                    // If the caller is gone, its dropped `RequestHandle` cancels the request.
                    let _ = pending.reply.send(CallerEvent::Text(text));
                }
            }
            EntryAction::FinishAnswer { request, finish_reason, tokens } => {
                node.metrics.count("answers", 1);
                node.metrics.count("tokens", tokens);
                node.record_event(EventKind::Answer, Some(&request), format!("tokens={tokens}"));
                self.end_request(&request, CallerEvent::Finished { finish_reason, tokens });
            }
            EntryAction::DeliverAnswer { request, status, content_type, body } => {
                node.metrics.count("answers", 1);
                node.record_event(EventKind::Answer, Some(&request), format!("status={status}"));
                self.end_request(&request, CallerEvent::Answer { status, content_type, body });
            }
            EntryAction::Refuse { request, refusal } => {
                node.metrics.count(&format!("refused.{}", refusal.fault.step), 1);
                let run = refusal.executed.as_str();
                node.record_event(
                    EventKind::Refuse,
                    Some(&request),
                    format!("run={run} fault=\"{}\"", refusal.fault),
                );
                self.end_request(&request, CallerEvent::Refused(refusal));
            }
        }
    }

    /// Removes a request and sends the last event to its caller.
    fn end_request(&mut self, request: &RequestId, event: CallerEvent) {
        if let Some(pending) = self.pending.remove(request) {
            let _ = pending.reply.send(event);
        }
    }

    /// Sends an attempt to the agent that the state machine has chosen.
    fn send_attempt(&mut self, node: &mut Node, outbound: &OutboundAttempt) {
        let OutboundAttempt { attempt, request, node: to, .. } = outbound;
        let address = node.address(to);
        let (stamp, now) = (node.stamp(), node.now());
        let message = self.pending.get(request).and_then(|pending| {
            let resolved = pending.resolved.as_ref()?;
            Some(v1::AttemptRequest {
                attempt: attempt.to_string(),
                request: request.to_string(),
                config_version: resolved.config_version.value(),
                class: pending.class.as_str().to_owned(),
                deadline_left_ms: pending.deadline_left_ms(now),
                idempotent: !pending.non_idempotent,
                target: Some(target(pending, resolved, outbound)),
                stamp_wall_ms: stamp.wall_ms,
                stamp_count: stamp.count,
                service_name: resolved.service.to_string(),
                demand: outbound.demand_per_1000s,
            })
        });
        let (Some(address), Some(message)) = (address, message) else {
            let fault = filbertcleat_base::Fault::new(
                filbertcleat_base::Step::Route,
                to,
                "agent is not a member",
            );
            let event =
                EntryEvent::AttemptLost { attempt: attempt.clone(), maybe_sent: false, fault };
            send_to_loop(&node.loop_sender, LoopEvent::Entry(event));
            return;
        };

        node.metrics.count("attempts", 1);
        node.record_event(EventKind::Send, Some(request), format!("attempt={attempt} to={to}"));
        let (abort, aborted) = oneshot::channel();
        self.aborts.insert(attempt.clone(), abort);
        let attempt =
            OutgoingAttempt { id: attempt.clone(), node: to.clone(), address, request: message };
        tokio::spawn(attempt.run(node.peers.clone(), node.loop_sender.clone(), aborted));
    }
}
