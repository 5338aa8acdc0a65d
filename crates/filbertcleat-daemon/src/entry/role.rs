//! The entry's part of the loop.

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
use self::patch::submit;
use self::peers::is_running;
use self::peers::live_entries;
use self::peers::processes;
use super::CallerGate;
use super::EntryEvent;
use super::attempts::Attempt;
use super::caller::Caller;
use super::caller::CallerEvent;
use super::caller::Kept;
use super::caller::Resolved;
use super::caller::Work;
use super::claims;
use super::event::ClaimEnd;
use super::event::Process;
use crate::convert::event_from_wire;
use crate::convert::report_from_wire;
use crate::input::Input;
use crate::input::tell;
use crate::node::Node;

/// The entry's part of the loop: its decisions, its callers and the attempts under way.
#[derive(Debug)]
pub(crate) struct EntryRole {
    core: Entry,
    gate: CallerGate,
    callers: HashMap<RequestId, Caller>,
    aborts: HashMap<AttemptId, oneshot::Sender<()>>,
    leaving_since_ms: Option<u64>,
}

impl EntryRole {
    /// The largest answer that is kept for repeats.
    const KEPT_MAX_BYTES: usize = 256 * 1024;

    pub fn new(node: &Node, gate: CallerGate) -> Self {
        let seed = filbertcleat_base::mix_hashes(
            node.incarnation,
            filbertcleat_base::stable_hash(node.name().as_str()),
        );
        Self {
            core: Entry::new(EntrySettings { node: node.name().clone(), seed }),
            gate,
            callers: HashMap::new(),
            aborts: HashMap::new(),
            leaving_since_ms: None,
        }
    }

    pub fn held(&self) -> usize {
        self.core.in_flight()
    }

    pub fn gate(&self) -> &CallerGate {
        &self.gate
    }

    /// Begins a planned stop: the balancer is told first.
    pub fn drain(&mut self, node: &Node) {
        self.gate.set_ready(false);
        self.leaving_since_ms.get_or_insert(node.now().as_ms());
    }

    /// Returns whether the balancer has stopped sending and all callers are answered.
    pub fn is_drained(&self, node: &Node) -> bool {
        let lag_ms = node.settings.drain.balancer_lag_ms.as_millis() as u64;
        let waited =
            self.leaving_since_ms.is_some_and(|since_ms| node.now().as_ms() >= since_ms + lag_ms);
        waited && self.callers.is_empty()
    }

    pub fn handle(&mut self, node: &mut Node, event: EntryEvent) {
        match event {
            EntryEvent::Arrive(caller) => self.arrive(node, *caller),
            EntryEvent::CallerGone { request } => {
                node.note(EventKind::CallerGone, Some(&request), String::new());
                self.decide(node, EntryInput::CallerDisconnected { request: request.clone() });
                self.callers.remove(&request);
            }
            EntryEvent::Attempt { event, node: from } => self.attempt_event(node, event, from),
            EntryEvent::Lost { attempt, sent, fault } => {
                self.aborts.remove(&attempt);
                node.note(
                    EventKind::AttemptBroken,
                    None,
                    format!("attempt={attempt} sent={sent} fault=\"{fault}\""),
                );
                self.decide(node, EntryInput::AttemptLost { attempt, maybe_sent: sent, fault });
            }
            EntryEvent::Claimed { request, outcome } => self.claimed(node, &request, outcome),
            EntryEvent::IsRunning { holder, reply } => {
                let _ = reply.send(is_running(node, &holder));
            }
            EntryEvent::Entries { reply } => {
                let _ = reply.send(live_entries(node));
            }
            EntryEvent::Patch { patch, reply } => submit(node, patch, reply),
            EntryEvent::Configuration { reply } => {
                // A caller that has gone away needs no answer.
                let _ = reply.send(Arc::clone(node.config.current()));
            }
            EntryEvent::Processes { reply } => {
                let _ = reply.send(processes(node));
            }
            EntryEvent::Drain { node: name, operator, reply } => {
                node.note(EventKind::Drain, None, format!("of={name} operator={operator}"));
                let _ = reply.send(node.address(&name));
            }
        }
    }

    pub fn tick(&mut self, node: &mut Node) {
        self.decide(node, EntryInput::Tick);
    }

    pub fn configured(&mut self, node: &mut Node) {
        let configuration = node.config.current();
        let input =
            EntryInput::Config { limits: configuration.limits, policy: configuration.policy };
        self.decide(node, input);
    }

    /// Takes in what the membership says of a process.
    pub fn member_changed(&mut self, node: &mut Node, record: &MemberRecord) {
        let count = live_entries(node);
        self.decide(node, EntryInput::EntryCount { count });
        let liveness = record.state.liveness();
        self.decide(node, EntryInput::Liveness { node: record.name.clone(), liveness });
        if record.state != MemberState::Gone
            && let Some(report) = &record.replica
        {
            self.decide(node, EntryInput::Report(report.clone()));
        }
    }

    fn arrive(&mut self, node: &mut Node, mut caller: Caller) {
        let resolved = match resolve(node, &caller) {
            Ok(resolved) => resolved,
            Err(message) => {
                node.metrics.count("refused.unknown", 1);
                let _ = caller.reply.send(CallerEvent::NotFound(message));
                return;
            }
        };
        let target = match &resolved.adapter {
            Some(adapter) => Target::Adapter(adapter.clone()),
            None => Target::Plain,
        };
        let detail = format!("service={} target={target} class={}", resolved.service, caller.class);
        node.note(EventKind::Arrive, Some(&caller.request), detail);
        node.metrics.count("requests", 1);

        let arrival = CallerRequest {
            id: caller.request.clone(),
            service: resolved.service.clone(),
            target,
            class: caller.class,
            idempotent: is_idempotent(node, &caller, &resolved),
            has_idempotency_key: caller.key.is_some(),
        };
        let model = resolved.adapter.as_ref().map(ToString::to_string).unwrap_or_default();
        let _ = caller.reply.send(CallerEvent::Accepted { model });
        caller.resolved = Some(resolved);
        self.callers.insert(caller.request.clone(), caller);
        self.decide(node, EntryInput::Request(arrival));
    }

    fn attempt_event(&mut self, node: &mut Node, mut event: v1::AttemptEvent, from: NodeName) {
        node.observe(event.stamp_wall_ms, event.stamp_count);
        if let Some(status) = event.replica.take() {
            let report = report_from_wire(from, status);
            node.members.observe_report(&report);
            self.decide(node, EntryInput::Report(report));
        }
        let Some(event) = event_from_wire(event) else {
            node.metrics.count("attempts.unreadable", 1);
            return;
        };
        if event.kind.is_terminal() {
            self.aborts.remove(&event.attempt);
        }
        self.decide(node, EntryInput::Event(event));
    }

    /// Feeds the decisions and carries out what follows.
    fn decide(&mut self, node: &mut Node, input: EntryInput) {
        let now = node.now();
        for action in self.core.handle(now, input) {
            self.act(node, action);
        }
    }

    fn act(&mut self, node: &mut Node, action: EntryAction) {
        match action {
            EntryAction::Claim { request } => self.claim(node, &request),
            EntryAction::SettleClaim { request, run } => self.settle(node, &request, Some(run)),
            EntryAction::RecordAnswer { request, status, content_type, body } => {
                self.record(node, &request, status, &content_type, &body);
            }
            EntryAction::ReplayAnswer { request } => self.replay(&request),
            EntryAction::Send(sending) => self.send(node, &sending),
            EntryAction::CancelAttempt { attempt } => {
                if let Some(abort) = self.aborts.remove(&attempt) {
                    // An attempt that has just ended needs no abort.
                    let _ = abort.send(());
                }
            }
            EntryAction::CallStarted { request, node: at, load_stall_ms, queue_wait_ms } => {
                let detail =
                    format!("at={at} load_stall_ms={load_stall_ms} queue_wait_ms={queue_wait_ms}");
                node.note(EventKind::Call, Some(&request), detail);
            }
            EntryAction::AttemptRefused { node: at, reason, config_version } => {
                node.metrics.count("attempts.refused", 1);
                log::debug!("event=attempt-refused at={at} reason={}", reason.as_str());
                if config_version > node.config.version() {
                    node.follow_store_now();
                }
            }
            EntryAction::DeliverChunk { request, text } => {
                if let Some(caller) = self.callers.get(&request) {
                    // A caller that is gone is told to the loop on its own.
                    let _ = caller.reply.send(CallerEvent::Text(text));
                }
            }
            EntryAction::FinishAnswer { request, finish_reason, tokens } => {
                node.metrics.count("answers", 1);
                node.metrics.count("tokens", tokens);
                node.note(EventKind::Answer, Some(&request), format!("tokens={tokens}"));
                self.end(&request, CallerEvent::Finished { finish_reason, tokens });
            }
            EntryAction::DeliverAnswer { request, status, content_type, body } => {
                node.metrics.count("answers", 1);
                node.note(EventKind::Answer, Some(&request), format!("status={status}"));
                self.end(&request, CallerEvent::Answer { status, content_type, body });
            }
            EntryAction::Refuse { request, refusal } => {
                node.metrics.count(&format!("refused.{}", refusal.fault.step), 1);
                let run = refusal.run.as_str();
                node.note(
                    EventKind::Refuse,
                    Some(&request),
                    format!("run={run} fault=\"{}\"", refusal.fault),
                );
                self.end(&request, CallerEvent::Refused(refusal));
            }
        }
    }

    fn end(&mut self, request: &RequestId, event: CallerEvent) {
        if let Some(caller) = self.callers.remove(request) {
            let _ = caller.reply.send(event);
        }
    }

    fn send(&mut self, node: &mut Node, sending: &OutboundAttempt) {
        let OutboundAttempt { attempt, request, node: to, .. } = sending;
        let address = node.address(to);
        let (stamp, now) = (node.stamp(), node.now());
        let message = self.callers.get(request).and_then(|caller| {
            let resolved = caller.resolved.as_ref()?;
            Some(v1::AttemptRequest {
                attempt: attempt.to_string(),
                request: request.to_string(),
                config_version: resolved.config_version.value(),
                class: caller.class.as_str().to_owned(),
                deadline_left_ms: caller.deadline_left_ms(now),
                idempotent: !caller.non_idempotent,
                target: Some(target(caller, resolved, sending)),
                stamp_wall_ms: stamp.wall_ms,
                stamp_count: stamp.count,
                service_name: resolved.service.to_string(),
                demand: sending.demand_per_1000s,
            })
        });
        let (Some(address), Some(message)) = (address, message) else {
            let fault =
                filbertcleat_base::Fault::new(filbertcleat_base::Step::Route, to, "has left");
            let event = EntryEvent::Lost { attempt: attempt.clone(), sent: false, fault };
            tell(&node.inputs, Input::Entry(event));
            return;
        };

        node.metrics.count("attempts", 1);
        node.note(EventKind::Send, Some(request), format!("attempt={attempt} to={to}"));
        let (abort, aborted) = oneshot::channel();
        self.aborts.insert(attempt.clone(), abort);
        let attempt = Attempt { id: attempt.clone(), node: to.clone(), address, request: message };
        tokio::spawn(attempt.run(node.peers.clone(), node.inputs.clone(), aborted));
    }
}
