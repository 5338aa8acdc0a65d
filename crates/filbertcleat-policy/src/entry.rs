//! The decisions of the process before the callers.

mod action;
mod arrival;
mod claim;
mod input;
mod pending;
mod retry;
mod sending;
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
pub use self::arrival::CallerRequest;
pub use self::claim::ClaimOutcome;
pub use self::input::EntryInput;
use self::pending::Pending;
use self::pending::Phase;
pub use self::sending::OutboundAttempt;
pub use self::settings::EntrySettings;
use crate::Admission;
use crate::AttemptEvent;
use crate::AttemptEventKind;
use crate::Popularity;
use crate::Refusal;
use crate::RetryBudget;
use crate::RouteQuery;
use crate::Router;

/// Owns the requests of its callers: where each goes, and what follows a failure.
///
/// It alone repeats calls, from one budget per request and one for all, so that repeats never
/// multiply across processes.
#[derive(Debug)]
pub struct Entry {
    settings: EntrySettings,
    limits: Limits,
    router: Router,
    admission: Admission,
    budget: RetryBudget,
    popularity: Popularity,
    entries: usize,
    rng: SmallRng,
    requests: HashMap<RequestId, Pending>,
    attempts: HashMap<AttemptId, RequestId>,
    held: BTreeSet<RequestId>,
    swept: MonoTime,
    calls: u64,
    actions: Vec<EntryAction>,
}

impl Entry {
    /// How long a call lasts while no agent has reported it.
    const CALL_MS: u64 = 1000;
    /// The pause before a replica that refused is asked again, for each attempt made.
    const RETRY_PAUSE_MS: u64 = 200;
    /// The least time between two sweeps over the held requests.
    const SWEEP_MS: u64 = 20;

    /// Creates an entry that knows no agents.
    pub fn new(settings: EntrySettings) -> Self {
        let limits = Limits::default();
        Self {
            limits,
            router: Router::new(Policy::default().routing),
            admission: Admission::new(limits),
            budget: RetryBudget::new(limits.retry_share_percent),
            popularity: Popularity::new(Popularity::HALF_LIFE_S),
            entries: 1,
            rng: SmallRng::seed_from_u64(settings.seed),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            held: BTreeSet::new(),
            swept: MonoTime::ZERO,
            calls: 0,
            actions: Vec::new(),
            settings,
        }
    }

    /// Takes in one input and returns what is to be done.
    pub fn handle(&mut self, now: MonoTime, input: EntryInput) -> Vec<EntryAction> {
        match input {
            EntryInput::Request(arrival) => self.arrive(now, arrival),
            EntryInput::ClaimResult { request, outcome } => self.claimed(now, &request, outcome),
            EntryInput::Event(event) => self.event(now, event),
            EntryInput::AttemptLost { attempt, maybe_sent: sent, fault } => {
                self.lost(now, &attempt, sent, fault);
            }
            EntryInput::CallerDisconnected { request } => self.caller_gone(&request),
            EntryInput::Report(report) => self.router.apply_report(report),
            EntryInput::Liveness { node, liveness } => self.router.set_liveness(&node, liveness),
            EntryInput::EntryCount { count } => self.entries = count.max(1),
            EntryInput::Config { limits, policy } => self.configure(limits, policy),
            EntryInput::Tick => {}
        }

        self.sweep(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of requests in progress.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of calls made to agents so far.
    pub fn call_count(&self) -> u64 {
        self.calls
    }

    /// Returns the router, for status.
    pub fn router(&self) -> &Router {
        &self.router
    }

    fn arrive(&mut self, now: MonoTime, arrival: CallerRequest) {
        let call_ms = self.router.mean_call_ms(&arrival.service).unwrap_or(Self::CALL_MS);
        if let Err(refusal) = self.admission.admit(arrival.class, &arrival.target, call_ms) {
            self.actions.push(EntryAction::Refuse { request: arrival.request, refusal });
            return;
        }

        if let Some(adapter) = arrival.target.adapter() {
            self.popularity.record(now, adapter);
        }

        let request = arrival.request.clone();
        let claims = !arrival.idempotent && arrival.has_idempotency_key;
        self.requests.insert(request.clone(), Pending::new(now, arrival));
        if claims {
            self.actions.push(EntryAction::Claim { request });
        } else {
            self.route(now, &request);
        }
    }

    fn claimed(&mut self, now: MonoTime, request: &RequestId, outcome: ClaimOutcome) {
        let Some(pending) = self.requests.get_mut(request) else {
            // The caller went away while the claim was made, and nothing was sent.
            if outcome == ClaimOutcome::Acquired {
                let request = request.clone();
                self.actions.push(EntryAction::SettleClaim { request, run: Executed::No });
            }
            return;
        };
        let peer = "table service";
        match outcome {
            ClaimOutcome::Acquired => {
                pending.claimed = true;
                self.route(now, request);
            }
            ClaimOutcome::Completed => {
                self.forget(request);
                self.actions.push(EntryAction::ReplayAnswer { request: request.clone() });
            }
            ClaimOutcome::Running => {
                let fault =
                    Fault::new(Step::Claim, peer, "first call with this key is still running");
                let refusal =
                    Refusal { retry_after_ms: Some(1000), ..Refusal::outcome_unknown(fault) };
                self.refuse(request, refusal);
            }
            ClaimOutcome::Unknown => {
                let reason = "outcome of the first call with this key is unknown";
                self.refuse(
                    request,
                    Refusal::outcome_unknown(Fault::new(Step::Claim, peer, reason)),
                );
            }
            ClaimOutcome::Unavailable => {
                let fault = Fault::new(Step::Claim, peer, "table service is unavailable");
                self.refuse(request, Refusal::not_run(fault, Some(5000)));
            }
        }
    }

    /// Sends a request to a replica, or holds it until one can take it.
    fn route(&mut self, now: MonoTime, request: &RequestId) {
        let Some(pending) = self.requests.get_mut(request) else {
            return;
        };
        let search = RouteQuery {
            service: &pending.arrival.service,
            adapter: pending.arrival.target.adapter(),
            class: pending.arrival.class,
            excluded: &pending.excluded,
        };
        let resume_at = pending.resume_at.clone();
        let node = match &resume_at {
            Some(resume) => Some(resume.node.clone()),
            None => self.router.choose(now, &search, &mut self.rng).map(|choice| choice.node),
        };
        let Some(node) = node else {
            self.hold(now, request);
            return;
        };

        let resume_of = resume_at.map(|resume| resume.attempt);
        let demand = pending.arrival.target.adapter().map_or(0, |adapter| {
            (self.popularity.rate_per_s(now, adapter) * self.entries as f64 * 1000.0) as u32
        });
        let attempt = pending.start(node.clone(), resume_of.is_some());
        let resume_offset = if resume_of.is_some() { pending.chunks } else { 0 };
        self.held.remove(request);
        self.attempts.insert(attempt.clone(), request.clone());
        self.calls += 1;
        self.actions.push(EntryAction::Send(OutboundAttempt {
            attempt,
            request: request.clone(),
            node,
            resume_of,
            resume_offset,
            demand_per_1000s: demand,
        }));
    }

    fn hold(&mut self, now: MonoTime, request: &RequestId) {
        if let Some(pending) = self.requests.get_mut(request) {
            if !matches!(pending.phase, Phase::Held { .. }) {
                pending.phase = Phase::Held { since: now };
            }
            self.held.insert(request.clone());
        }
    }

    fn event(&mut self, now: MonoTime, event: AttemptEvent) {
        let Some(request) = self.attempts.get(&event.attempt).cloned() else {
            return;
        };
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        if event.sequence != pending.expected_sequence {
            let reason =
                format!("event {} came in place of {}", event.sequence, pending.expected_sequence);
            let fault = Fault::new(Step::Stream, pending.node(), reason);
            self.abort(&event.attempt);
            self.broken(now, &request, fault, false);
            return;
        }
        pending.expected_sequence += 1;

        match event.kind {
            AttemptEventKind::Started { load_stall_ms, queue_wait_ms } => {
                let node = pending.node();
                self.actions.push(EntryAction::CallStarted {
                    request,
                    node,
                    load_stall_ms,
                    queue_wait_ms,
                });
            }
            AttemptEventKind::Chunk { text } => self.chunk(&event.attempt, &request, &text),
            AttemptEventKind::Done { finish_reason, tokens } => {
                self.done(now, &request, finish_reason, tokens);
            }
            AttemptEventKind::Answer { status, content_type, body } => {
                self.finish(&request, status, &content_type, &body);
                self.actions.push(EntryAction::DeliverAnswer {
                    request,
                    status,
                    content_type,
                    body,
                });
            }
            AttemptEventKind::Refused { reason, retry_after_ms, config_version } => {
                self.refused(now, &request, reason, retry_after_ms, config_version);
            }
            AttemptEventKind::Broken { fault, resumable } => {
                self.broken(now, &request, fault, resumable);
            }
        }
    }

    fn chunk(&mut self, attempt: &AttemptId, request: &RequestId, text: &str) {
        let Some(pending) = self.requests.get_mut(request) else {
            return;
        };
        match pending.join(text) {
            Ok("") => {}
            Ok(fresh) => {
                let text = fresh.to_owned();
                pending.delivered.push_str(&text);
                pending.matched = pending.delivered.len();
                self.actions.push(EntryAction::DeliverChunk { request: request.clone(), text });
            }
            Err(()) => {
                let fault = Fault::new(
                    Step::Stream,
                    pending.node(),
                    "repeated answer differs from the part already sent",
                );
                self.abort(attempt);
                self.refuse_last(request, fault);
            }
        }
    }

    fn done(&mut self, now: MonoTime, request: &RequestId, finish_reason: String, tokens: u64) {
        let Some(pending) = self.requests.get_mut(request) else {
            return;
        };
        if pending.matched < pending.delivered.len() {
            let fault = Fault::new(
                Step::Stream,
                pending.node(),
                "repeated answer is shorter than the part already sent",
            );
            self.refuse_last(request, fault);
            return;
        }
        if pending.chunks != tokens {
            let reason = format!("answer has {tokens} tokens, but {} came", pending.chunks);
            let fault = Fault::new(Step::Stream, pending.node(), reason);
            self.broken(now, request, fault, false);
            return;
        }
        let text = std::mem::take(&mut pending.delivered);
        self.finish(request, 200, "text/plain", text.as_bytes());
        self.actions.push(EntryAction::FinishAnswer {
            request: request.clone(),
            finish_reason,
            tokens,
        });
    }

    fn refuse(&mut self, request: &RequestId, refusal: Refusal) {
        if let Some(pending) = self.forget(request)
            && pending.claimed
        {
            let run = refusal.run;
            self.actions.push(EntryAction::SettleClaim { request: request.clone(), run });
        }
        self.actions.push(EntryAction::Refuse { request: request.clone(), refusal });
    }

    fn finish(&mut self, request: &RequestId, status: u16, content_type: &str, body: &[u8]) {
        self.budget.record_success();
        if let Some(pending) = self.forget(request)
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

    fn caller_gone(&mut self, request: &RequestId) {
        let Some(pending) = self.requests.get(request) else {
            return;
        };
        let attempt = pending.attempt().cloned();
        let started = pending.attempts > 0;
        let claimed = pending.claimed;
        if let Some(attempt) = attempt {
            self.abort(&attempt);
        }
        self.forget(request);
        if claimed {
            let run = if started { Executed::Unknown } else { Executed::No };
            self.actions.push(EntryAction::SettleClaim { request: request.clone(), run });
        }
    }

    fn abort(&mut self, attempt: &AttemptId) {
        self.actions.push(EntryAction::CancelAttempt { attempt: attempt.clone() });
    }

    fn forget(&mut self, request: &RequestId) -> Option<Pending> {
        let pending = self.requests.remove(request)?;
        if let Some(attempt) = pending.attempt() {
            self.attempts.remove(attempt);
        }
        self.held.remove(request);
        self.admission.release(&pending.arrival.target);
        Some(pending)
    }

    fn configure(&mut self, limits: Limits, policy: Policy) {
        self.limits = limits;
        self.router.set_policy(policy.routing);
        self.admission.set_limits(limits);
        self.budget.set_share_percent(limits.retry_share_percent);
    }

    /// Returns the name of the entry.
    pub fn name(&self) -> &NodeName {
        &self.settings.node
    }
}
