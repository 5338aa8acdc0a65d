//! Request handling at an entry: admission, claims, routing and retries.

mod action;
mod caller_request;
mod claim_outcome;
mod input;
mod outbound_attempt;
mod pending_request;
mod retry;
mod settings;

use std::collections::BTreeSet;
use std::collections::HashMap;

use filbertcleat_base::AttemptId;
use filbertcleat_base::Executed;
use filbertcleat_base::Fault;
use filbertcleat_base::MonoTime;
use filbertcleat_base::NodeName;
use filbertcleat_base::RequestId;
use filbertcleat_base::Step;
use filbertcleat_config::Limits;
use filbertcleat_config::Policy;
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub use self::action::EntryAction;
pub use self::caller_request::CallerRequest;
pub use self::claim_outcome::ClaimOutcome;
pub use self::input::EntryInput;
pub use self::outbound_attempt::OutboundAttempt;
use self::pending_request::PendingRequest;
use self::pending_request::Phase;
pub use self::settings::EntrySettings;
use crate::Admission;
use crate::AttemptEvent;
use crate::AttemptEventKind;
use crate::Popularity;
use crate::Refusal;
use crate::RetryBudget;
use crate::RouteQuery;
use crate::Router;

/// Handles the requests of an entry's callers, from admission to the end of the answer.
///
/// Only the entry retries a request, within the request's attempt limit and a retry budget over all
/// requests, so that retries never multiply across processes.
#[derive(Debug)]
pub struct Entry {
    settings: EntrySettings,
    limits: Limits,
    router: Router,
    admission: Admission,
    retry_budget: RetryBudget,
    popularity: Popularity,
    /// The number of live entries, including this one.
    live_entries: usize,
    rng: SmallRng,
    /// The requests in flight.
    requests: HashMap<RequestId, PendingRequest>,
    /// The request of each current attempt.
    attempts: HashMap<AttemptId, RequestId>,
    /// The requests that wait for a replica or for a retry token.
    waiting: BTreeSet<RequestId>,
    last_sweep_at: MonoTime,
    /// The number of attempts sent so far.
    attempt_count: u64,
    actions: Vec<EntryAction>,
}

impl Entry {
    /// The assumed duration of a call while no replica has reported it.
    const DEFAULT_CALL_MS: u64 = 1000;
    /// How long a waiting request excludes the agents of its failed attempts, for each attempt
    /// made.
    const EXCLUSION_MS_PER_ATTEMPT: u64 = 200;
    /// The minimum interval between two sweeps over the waiting requests.
    const SWEEP_INTERVAL_MS: u64 = 20;

    /// Creates an entry that knows no replicas.
    pub fn new(settings: EntrySettings) -> Self {
        let limits = Limits::default();
        Self {
            limits,
            router: Router::new(Policy::default().routing),
            admission: Admission::new(limits),
            retry_budget: RetryBudget::new(limits.retry_share_percent),
            popularity: Popularity::new(Popularity::HALF_LIFE_S),
            live_entries: 1,
            rng: SmallRng::seed_from_u64(settings.seed),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            waiting: BTreeSet::new(),
            last_sweep_at: MonoTime::ZERO,
            attempt_count: 0,
            actions: Vec::new(),
            settings,
        }
    }

    /// Applies one input and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: MonoTime, input: EntryInput) -> Vec<EntryAction> {
        match input {
            EntryInput::Request(caller_request) => self.accept_request(now, caller_request),
            EntryInput::ClaimResult { request, outcome } => {
                self.apply_claim_result(now, &request, outcome);
            }
            EntryInput::Event(event) => self.apply_event(now, event),
            EntryInput::AttemptLost { attempt, maybe_sent, fault } => {
                self.attempt_lost(now, &attempt, maybe_sent, fault);
            }
            EntryInput::CallerDisconnected { request } => self.caller_disconnected(&request),
            EntryInput::Report(report) => self.router.apply_report(report),
            EntryInput::Liveness { node, liveness } => self.router.set_liveness(&node, liveness),
            EntryInput::EntryCount { count } => self.live_entries = count.max(1),
            EntryInput::Config { limits, policy } => self.apply_config(limits, policy),
            EntryInput::Tick => {}
        }

        self.sweep_waiting(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of attempts sent to agents so far.
    pub fn attempt_count(&self) -> u64 {
        self.attempt_count
    }

    /// Returns the router, for status output.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// Admits a request, and claims, sends or refuses it.
    fn accept_request(&mut self, now: MonoTime, caller_request: CallerRequest) {
        let call_ms =
            self.router.mean_call_ms(&caller_request.service).unwrap_or(Self::DEFAULT_CALL_MS);
        if let Err(refusal) =
            self.admission.admit(caller_request.class, &caller_request.target, call_ms)
        {
            self.actions.push(EntryAction::Refuse { request: caller_request.id, refusal });
            return;
        }

        if let Some(adapter) = caller_request.target.adapter() {
            self.popularity.record(now, adapter);
        }

        let request = caller_request.id.clone();
        let needs_claim = !caller_request.idempotent && caller_request.has_idempotency_key;
        self.requests.insert(request.clone(), PendingRequest::new(now, caller_request));
        if needs_claim {
            self.actions.push(EntryAction::Claim { request });
        } else {
            self.send_or_wait(now, &request);
        }
    }

    /// Continues a request after the attempt to claim its idempotency key.
    fn apply_claim_result(&mut self, now: MonoTime, request: &RequestId, outcome: ClaimOutcome) {
        let Some(pending) = self.requests.get_mut(request) else {
            // The caller disconnected before the claim was acquired, so the request was not sent
            // and the claim is released.
            if outcome == ClaimOutcome::Acquired {
                let request = request.clone();
                self.actions.push(EntryAction::CompleteClaim { request, executed: Executed::No });
            }
            return;
        };
        let peer = "table service";
        match outcome {
            ClaimOutcome::Acquired => {
                pending.claimed = true;
                self.send_or_wait(now, request);
            }
            ClaimOutcome::Completed => {
                self.remove_request(request);
                self.actions.push(EntryAction::ReplayAnswer { request: request.clone() });
            }
            ClaimOutcome::Running => {
                let fault = Fault::new(
                    Step::Claim,
                    peer,
                    "first call with this idempotency key is still running",
                );
                let refusal =
                    Refusal { retry_after_ms: Some(1000), ..Refusal::outcome_unknown(fault) };
                self.refuse(request, refusal);
            }
            ClaimOutcome::Unknown => {
                let reason = "outcome of the first call with this idempotency key is unknown";
                self.refuse(
                    request,
                    Refusal::outcome_unknown(Fault::new(Step::Claim, peer, reason)),
                );
            }
            ClaimOutcome::Unavailable => {
                let fault = Fault::new(Step::Claim, peer, "table service is unavailable");
                self.refuse(request, Refusal::not_executed(fault, Some(5000)));
            }
        }
    }

    /// Sends a request to a replica, or lets it wait until a replica is usable.
    ///
    /// An interrupted stream is resumed at its own agent.
    fn send_or_wait(&mut self, now: MonoTime, request: &RequestId) {
        let Some(pending) = self.requests.get_mut(request) else {
            return;
        };
        let query = RouteQuery {
            service: &pending.request.service,
            adapter: pending.request.target.adapter(),
            class: pending.request.class,
            excluded: &pending.excluded,
        };
        let resume_point = pending.resume_point.clone();
        let node = match &resume_point {
            Some(point) => Some(point.node.clone()),
            None => self.router.choose(now, &query, &mut self.rng).map(|choice| choice.node),
        };
        let Some(node) = node else {
            self.wait_for_replica(now, request);
            return;
        };

        let resume_of = resume_point.map(|point| point.attempt);
        let demand = pending.request.target.adapter().map_or(0, |adapter| {
            (self.popularity.rate_per_s(now, adapter) * self.live_entries as f64 * 1000.0) as u32
        });
        let attempt = pending.start_attempt(node.clone(), resume_of.is_some());
        let resume_offset = if resume_of.is_some() { pending.chunk_count } else { 0 };
        self.waiting.remove(request);
        self.attempts.insert(attempt.clone(), request.clone());
        self.attempt_count += 1;
        self.actions.push(EntryAction::Send(OutboundAttempt {
            attempt,
            request: request.clone(),
            node,
            resume_of,
            resume_offset,
            demand_per_1000s: demand,
        }));
    }

    /// Adds a request to the waiting ones; one that waits already keeps its starting time.
    fn wait_for_replica(&mut self, now: MonoTime, request: &RequestId) {
        if let Some(pending) = self.requests.get_mut(request) {
            if !matches!(pending.phase, Phase::Waiting { .. }) {
                pending.phase = Phase::Waiting { since: now };
            }
            self.waiting.insert(request.clone());
        }
    }

    /// Applies an event of a current attempt; events of earlier attempts are ignored.
    fn apply_event(&mut self, now: MonoTime, event: AttemptEvent) {
        let Some(request) = self.attempts.get(&event.attempt).cloned() else {
            return;
        };
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        if event.sequence != pending.next_sequence {
            let reason = format!(
                "received event {}, expected event {}",
                event.sequence, pending.next_sequence
            );
            let fault = Fault::new(Step::Stream, pending.last_node(), reason);
            self.cancel_attempt(&event.attempt);
            self.attempt_broken(now, &request, fault, false);
            return;
        }
        pending.next_sequence += 1;

        match event.kind {
            AttemptEventKind::Started { load_stall_ms, queue_wait_ms } => {
                let node = pending.last_node();
                self.actions.push(EntryAction::CallStarted {
                    request,
                    node,
                    load_stall_ms,
                    queue_wait_ms,
                });
            }
            AttemptEventKind::Chunk { text } => self.deliver_chunk(&event.attempt, &request, &text),
            AttemptEventKind::Done { finish_reason, tokens } => {
                self.finish_answer(now, &request, finish_reason, tokens);
            }
            AttemptEventKind::Answer { status, content_type, body } => {
                self.complete(&request, status, &content_type, &body);
                self.actions.push(EntryAction::DeliverAnswer {
                    request,
                    status,
                    content_type,
                    body,
                });
            }
            AttemptEventKind::Refused { reason, retry_after_ms, config_version } => {
                self.attempt_refused(now, &request, reason, retry_after_ms, config_version);
            }
            AttemptEventKind::Broken { fault, resumable } => {
                self.attempt_broken(now, &request, fault, resumable);
            }
        }
    }

    /// Delivers the part of a chunk that the caller has not received yet.
    fn deliver_chunk(&mut self, attempt: &AttemptId, request: &RequestId, text: &str) {
        let Some(pending) = self.requests.get_mut(request) else {
            return;
        };
        match pending.merge_chunk(text) {
            Ok("") => {}
            Ok(new_text) => {
                let text = new_text.to_owned();
                pending.delivered.push_str(&text);
                pending.matched_bytes = pending.delivered.len();
                self.actions.push(EntryAction::DeliverChunk { request: request.clone(), text });
            }
            Err(()) => {
                let fault = Fault::new(
                    Step::Stream,
                    pending.last_node(),
                    "retried answer differs from the text already delivered",
                );
                self.cancel_attempt(attempt);
                self.give_up(request, fault);
            }
        }
    }

    /// Completes a streamed answer, after checking that all of it was received.
    fn finish_answer(
        &mut self,
        now: MonoTime,
        request: &RequestId,
        finish_reason: String,
        tokens: u64,
    ) {
        let Some(pending) = self.requests.get_mut(request) else {
            return;
        };
        if pending.matched_bytes < pending.delivered.len() {
            let fault = Fault::new(
                Step::Stream,
                pending.last_node(),
                "retried answer is shorter than the text already delivered",
            );
            self.give_up(request, fault);
            return;
        }
        if pending.chunk_count != tokens {
            let reason = format!(
                "answer has {tokens} tokens, but {} chunks were received",
                pending.chunk_count
            );
            let fault = Fault::new(Step::Stream, pending.last_node(), reason);
            self.attempt_broken(now, request, fault, false);
            return;
        }
        let text = std::mem::take(&mut pending.delivered);
        self.complete(request, 200, "text/plain", text.as_bytes());
        self.actions.push(EntryAction::FinishAnswer {
            request: request.clone(),
            finish_reason,
            tokens,
        });
    }

    /// Ends a request with a refusal, and completes its claim.
    fn refuse(&mut self, request: &RequestId, refusal: Refusal) {
        if let Some(pending) = self.remove_request(request)
            && pending.claimed
        {
            let executed = refusal.executed;
            self.actions.push(EntryAction::CompleteClaim { request: request.clone(), executed });
        }
        self.actions.push(EntryAction::Refuse { request: request.clone(), refusal });
    }

    /// Ends a request with an answer, and records the answer of a claimed request.
    fn complete(&mut self, request: &RequestId, status: u16, content_type: &str, body: &[u8]) {
        self.retry_budget.record_success();
        if let Some(pending) = self.remove_request(request)
            && pending.claimed
        {
            self.actions.push(EntryAction::RecordAnswer {
                request: request.clone(),
                status,
                content_type: content_type.to_owned(),
                body: body.to_vec(),
            });
        }
    }

    /// Cancels a request whose caller has disconnected.
    fn caller_disconnected(&mut self, request: &RequestId) {
        let Some(pending) = self.requests.get(request) else {
            return;
        };
        let attempt = pending.current_attempt().cloned();
        let was_sent = pending.attempts > 0;
        let claimed = pending.claimed;
        if let Some(attempt) = attempt {
            self.cancel_attempt(&attempt);
        }
        self.remove_request(request);
        if claimed {
            let executed = if was_sent { Executed::Unknown } else { Executed::No };
            self.actions.push(EntryAction::CompleteClaim { request: request.clone(), executed });
        }
    }

    /// Cancels an attempt at its agent.
    fn cancel_attempt(&mut self, attempt: &AttemptId) {
        self.actions.push(EntryAction::CancelAttempt { attempt: attempt.clone() });
    }

    /// Removes a request from all tables and releases its admission.
    fn remove_request(&mut self, request: &RequestId) -> Option<PendingRequest> {
        let pending = self.requests.remove(request)?;
        if let Some(attempt) = pending.current_attempt() {
            self.attempts.remove(attempt);
        }
        self.waiting.remove(request);
        self.admission.release(&pending.request.target);
        Some(pending)
    }

    /// Applies the limits and policies of a new configuration.
    fn apply_config(&mut self, limits: Limits, policy: Policy) {
        self.limits = limits;
        self.router.set_policy(policy.routing);
        self.admission.set_limits(limits);
        self.retry_budget.set_share_percent(limits.retry_share_percent);
    }

    /// Returns the name of the entry.
    pub fn name(&self) -> &NodeName {
        &self.settings.node
    }
}
