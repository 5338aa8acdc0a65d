//! What follows an attempt that failed.

use filbertcleat_base::AttemptId;
use filbertcleat_base::ConfigVersion;
use filbertcleat_base::Executed;
use filbertcleat_base::Fault;
use filbertcleat_base::MonoTime;
use filbertcleat_base::RequestId;
use filbertcleat_base::Step;

use super::Entry;
use super::EntryAction;
use super::Phase;
use crate::Refusal;
use crate::RefuseReason;

impl Entry {
    pub(super) fn refused(
        &mut self,
        now: MonoTime,
        request: &RequestId,
        reason: RefuseReason,
        retry_after_ms: u64,
        config_version: ConfigVersion,
    ) {
        let Some(pending) = self.requests.get_mut(request) else {
            return;
        };
        let node = pending.node();
        let fault = Fault::new(refusal_step(reason), &node, reason.as_str());
        pending.retry_after_ms = retry_after_ms;
        pending.resume_at = None;
        self.actions.push(EntryAction::AttemptRefused {
            node: node.clone(),
            reason,
            config_version,
        });
        if reason == RefuseReason::Leaving {
            self.router.set_liveness(&node, crate::Liveness::NotReady);
        }
        self.retry(now, request, fault);
    }

    pub(super) fn lost(&mut self, now: MonoTime, attempt: &AttemptId, sent: bool, fault: Fault) {
        let Some(request) = self.attempts.get(attempt).cloned() else {
            return;
        };
        if sent {
            self.broken(now, &request, fault, false);
            return;
        }
        if let Some(pending) = self.requests.get_mut(&request) {
            let node = pending.node();
            pending.resume_at = None;
            self.router.set_liveness(&node, crate::Liveness::Suspect);
        }
        self.retry(now, &request, fault);
    }

    /// Goes on after an attempt that may have been run.
    pub(super) fn broken(
        &mut self,
        now: MonoTime,
        request: &RequestId,
        fault: Fault,
        resumable: bool,
    ) {
        let Some(pending) = self.requests.get_mut(request) else {
            return;
        };
        pending.run = Executed::Unknown;
        let resumes = resumable && pending.resume_here();
        if resumes || pending.arrival.idempotent {
            if !resumes {
                pending.resume_at = None;
            }
            self.retry(now, request, fault);
        } else {
            self.refuse(request, Refusal::outcome_unknown(fault));
        }
    }

    /// Tries again within both budgets, or ends the request.
    pub(super) fn retry(&mut self, now: MonoTime, request: &RequestId, fault: Fault) {
        let Some(pending) = self.requests.get_mut(request) else {
            return;
        };
        if let Some(attempt) = pending.end_attempt() {
            self.attempts.remove(&attempt);
        }
        if pending.attempts >= self.limits.attempts_max {
            self.refuse_last(request, fault);
            return;
        }
        pending.fault = Some(fault);
        pending.needs_token = true;
        self.hold(now, request);
        self.resume_held(now, request);
    }

    /// Sends a held request if the shared budget allows it and a replica can take it.
    pub(super) fn resume_held(&mut self, now: MonoTime, request: &RequestId) {
        let Some(pending) = self.requests.get_mut(request) else {
            return;
        };
        if pending.needs_token {
            if !self.budget.try_take(now) {
                return;
            }
            pending.needs_token = false;
        }
        self.route(now, request);
    }

    pub(super) fn refuse_last(&mut self, request: &RequestId, fault: Fault) {
        let Some(pending) = self.requests.get(request) else {
            return;
        };
        let retry_after_ms = match pending.run {
            Executed::No => Some(pending.retry_after_ms.max(1000)),
            Executed::Unknown => {
                pending.arrival.idempotent.then_some(pending.retry_after_ms.max(1000))
            }
        };
        let refusal = Refusal { run: pending.run, fault, retry_after_ms };
        self.refuse(request, refusal);
    }

    /// Tries the held requests again, and ends those that were held too long.
    pub(super) fn sweep(&mut self, now: MonoTime) {
        if self.held.is_empty() || now.ms_since(self.swept) < Self::SWEEP_MS {
            return;
        }
        self.swept = now;

        let held: Vec<_> = self.held.iter().cloned().collect();
        for request in held {
            let Some(pending) = self.requests.get_mut(&request) else {
                continue;
            };
            let Phase::Held { since } = pending.phase else {
                continue;
            };
            if now.ms_since(since) >= self.limits.hold_ms {
                let none = Fault::new(Step::Route, "entry", "no backend server takes the request");
                let fault = pending.fault.clone().unwrap_or(none);
                self.refuse_last(&request, fault);
                continue;
            }
            // Refusals are forgotten after a pause, since the request has nowhere else to go.
            if now.ms_since(since) >= Self::RETRY_PAUSE_MS * u64::from(pending.attempts) {
                pending.excluded.clear();
            }
            self.resume_held(now, &request);
        }
    }
}

fn refusal_step(reason: RefuseReason) -> Step {
    match reason {
        RefuseReason::Leaving | RefuseReason::Full | RefuseReason::WrongService => Step::Queue,
        RefuseReason::LoadFailed => Step::Load,
        RefuseReason::Behind => Step::Patch,
        RefuseReason::NoLease => Step::Lease,
        RefuseReason::BackendDown => Step::Call,
    }
}
