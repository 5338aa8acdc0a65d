//! Failure handling and retries of an entry.

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
    /// Handles an attempt that an agent refused, which was therefore not executed.
    pub(super) fn attempt_refused(
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
        let node = pending.last_node();
        let fault = Fault::new(refusal_step(reason), &node, reason.as_str());
        pending.retry_after_ms = retry_after_ms;
        pending.resume_point = None;
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

    /// Handles an attempt whose connection failed.
    ///
    /// An attempt that may have reached the agent may have been executed; otherwise it is retried
    /// elsewhere and its agent becomes suspect.
    pub(super) fn attempt_lost(
        &mut self,
        now: MonoTime,
        attempt: &AttemptId,
        maybe_sent: bool,
        fault: Fault,
    ) {
        let Some(request) = self.attempts.get(attempt).cloned() else {
            return;
        };
        if maybe_sent {
            self.attempt_broken(now, &request, fault, false);
            return;
        }
        if let Some(pending) = self.requests.get_mut(&request) {
            let node = pending.last_node();
            pending.resume_point = None;
            self.router.set_liveness(&node, crate::Liveness::Suspect);
        }
        self.retry(now, &request, fault);
    }

    /// Handles a failed attempt that may have been executed: resumes or retries it if that is safe,
    /// and refuses the request otherwise.
    pub(super) fn attempt_broken(
        &mut self,
        now: MonoTime,
        request: &RequestId,
        fault: Fault,
        resumable: bool,
    ) {
        let Some(pending) = self.requests.get_mut(request) else {
            return;
        };
        pending.executed = Executed::Unknown;
        let resumes = resumable && pending.plan_resume();
        if resumes || pending.request.idempotent {
            if !resumes {
                pending.resume_point = None;
            }
            self.retry(now, request, fault);
        } else {
            self.refuse(request, Refusal::outcome_unknown(fault));
        }
    }

    /// Retries a request within its attempt limit and the retry budget, or gives it up.
    pub(super) fn retry(&mut self, now: MonoTime, request: &RequestId, fault: Fault) {
        let Some(pending) = self.requests.get_mut(request) else {
            return;
        };
        if let Some(attempt) = pending.end_attempt() {
            self.attempts.remove(&attempt);
        }
        if pending.attempts >= self.limits.attempts_max {
            self.give_up(request, fault);
            return;
        }
        pending.last_fault = Some(fault);
        pending.needs_retry_token = true;
        self.wait_for_replica(now, request);
        self.try_send(now, request);
    }

    /// Sends a waiting request if the retry budget allows it and a replica is usable.
    pub(super) fn try_send(&mut self, now: MonoTime, request: &RequestId) {
        let Some(pending) = self.requests.get_mut(request) else {
            return;
        };
        if pending.needs_retry_token {
            if !self.retry_budget.try_take(now) {
                return;
            }
            pending.needs_retry_token = false;
        }
        self.send_or_wait(now, request);
    }

    /// Refuses a request after its last attempt, with a retry delay where a retry is safe.
    pub(super) fn give_up(&mut self, request: &RequestId, fault: Fault) {
        let Some(pending) = self.requests.get(request) else {
            return;
        };
        let retry_after_ms = match pending.executed {
            Executed::No => Some(pending.retry_after_ms.max(1000)),
            Executed::Unknown => {
                pending.request.idempotent.then_some(pending.retry_after_ms.max(1000))
            }
        };
        let refusal = Refusal { executed: pending.executed, fault, retry_after_ms };
        self.refuse(request, refusal);
    }

    /// Sends the waiting requests that can be sent, and gives up those that have waited for too
    /// long.
    pub(super) fn sweep_waiting(&mut self, now: MonoTime) {
        if self.waiting.is_empty() || now.ms_since(self.last_sweep_at) < Self::SWEEP_INTERVAL_MS {
            return;
        }
        self.last_sweep_at = now;

        let waiting: Vec<_> = self.waiting.iter().cloned().collect();
        for request in waiting {
            let Some(pending) = self.requests.get_mut(&request) else {
                continue;
            };
            let Phase::Waiting { since } = pending.phase else {
                continue;
            };
            if now.ms_since(since) >= self.limits.hold_ms {
                let no_replica = Fault::new(
                    Step::Route,
                    "entry",
                    "no backend server is available for the request",
                );
                let fault = pending.last_fault.clone().unwrap_or(no_replica);
                self.give_up(&request, fault);
                continue;
            }
            // Excluded agents are allowed again after a pause, since no other replica may be able
            // to take the request.
            if now.ms_since(since) >= Self::EXCLUSION_MS_PER_ATTEMPT * u64::from(pending.attempts) {
                pending.excluded.clear();
            }
            self.try_send(now, &request);
        }
    }
}

/// Returns the step that is reported for a refusal.
fn refusal_step(reason: RefuseReason) -> Step {
    match reason {
        RefuseReason::Leaving | RefuseReason::Full | RefuseReason::WrongService => Step::Queue,
        RefuseReason::LoadFailed => Step::Load,
        RefuseReason::Behind => Step::Patch,
        RefuseReason::NoLease => Step::Lease,
        RefuseReason::BackendDown => Step::Call,
    }
}
