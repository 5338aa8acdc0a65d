//! Claims of the idempotency keys of requests, and stored answers.

use std::time::Duration;

use filbertcleat_base::Executed;
use filbertcleat_base::RequestId;
use filbertcleat_operate::EventKind;
use filbertcleat_policy::ClaimOutcome;
use filbertcleat_policy::EntryInput;
use filbertcleat_store::ClaimRow;
use filbertcleat_store::ClaimState;

use super::CallerEvent;
use super::ClaimResult;
use super::EntryEvent;
use super::EntryRole;
use super::RequestPayload;
use super::StoredAnswer;
use super::claims;
use super::peers::is_running;
use crate::loop_event::LoopEvent;
use crate::loop_event::send_to_loop;
use crate::node::Node;

impl EntryRole {
    /// Passes the result of a claim to the state machine.
    pub(super) fn apply_claim_result(
        &mut self,
        node: &mut Node,
        request: &RequestId,
        result: ClaimResult,
    ) {
        let mut outcome = ClaimOutcome::Unavailable;
        match result {
            ClaimResult::Acquired { revision } => {
                outcome = ClaimOutcome::Acquired;
                if let Some(pending) = self.pending.get_mut(request) {
                    pending.claim_revision = Some(revision);
                }
            }
            ClaimResult::AlreadyClaimed(row) => match row.state {
                ClaimState::Claimed if is_running(node, &row.node) => {
                    outcome = ClaimOutcome::Running;
                }
                ClaimState::Claimed | ClaimState::Unknown => outcome = ClaimOutcome::Unknown,
                ClaimState::Done { status, content_type, body } => {
                    outcome = ClaimOutcome::Completed;
                    if let Some(pending) = self.pending.get_mut(request) {
                        pending.stored_answer = Some(StoredAnswer { status, content_type, body });
                    }
                }
            },
            ClaimResult::Unavailable => self.complete_claim(node, request, None),
        }
        let name = outcome_name(outcome);
        node.record_event(EventKind::Claim, Some(request), format!("outcome={name}"));
        self.handle_input(node, EntryInput::ClaimResult { request: request.clone(), outcome });
    }

    /// Starts to claim the idempotency key of a request.
    pub(super) fn claim(&mut self, node: &Node, request: &RequestId) {
        let Some(key) =
            self.pending.get(request).and_then(|pending| pending.idempotency_key.clone())
        else {
            return;
        };
        let timeout = Duration::from_millis(node.config.current().limits.claim_wait_ms);
        let (table, loop_sender, request) =
            (node.table.clone(), node.loop_sender.clone(), request.clone());
        let holder = node.holder_id();
        tokio::spawn(async move {
            let result = claims::claim(&table, &key, &request, holder, timeout).await;
            send_to_loop(
                &loop_sender,
                LoopEvent::Entry(EntryEvent::ClaimDecided { request, result }),
            );
        });
    }

    /// Releases the claim of a request that was not executed, or marks its outcome as unknown.
    pub(super) fn complete_claim(
        &self,
        node: &Node,
        request: &RequestId,
        executed: Option<Executed>,
    ) {
        let state = match executed {
            Some(Executed::Unknown) => Some(ClaimState::Unknown),
            Some(Executed::No) | None => None,
        };
        self.write_claim(node, request, state);
    }

    /// Stores an answer in the row of its request's claim.
    ///
    /// An answer over the limit is not stored, and the outcome becomes unknown.
    pub(super) fn store_answer(
        &self,
        node: &Node,
        request: &RequestId,
        status: u16,
        content_type: &str,
        body: &[u8],
    ) {
        let state = if body.len() <= Self::STORED_ANSWER_MAX_BYTES {
            let body = String::from_utf8_lossy(body).into_owned();
            ClaimState::Done { status, content_type: content_type.to_owned(), body }
        } else {
            ClaimState::Unknown
        };
        self.write_claim(node, request, Some(state));
    }

    /// Writes the row of a request's claim, or releases the claim if `state` is `None`.
    pub(super) fn write_claim(&self, node: &Node, request: &RequestId, state: Option<ClaimState>) {
        let Some(pending) = self.pending.get(request) else {
            return;
        };
        let Some(key) = pending.idempotency_key.clone() else {
            return;
        };
        let revision = pending.claim_revision;
        let row = state.map(|state| ClaimRow {
            token: request.as_str().to_owned(),
            node: node.holder_id(),
            state,
        });
        let (table, request) = (node.table.clone(), request.clone());
        tokio::spawn(async move {
            claims::complete_claim(&table, &key, &request, row, revision).await;
        });
    }

    /// Answers a request with the stored answer to an earlier one with the same key.
    pub(super) fn replay_answer(&mut self, request: &RequestId) {
        let Some(pending) = self.pending.remove(request) else {
            return;
        };
        let Some(stored) = pending.stored_answer else {
            return;
        };
        // The caller may have disconnected.
        let _ = match pending.payload {
            RequestPayload::Completion { .. } => {
                let tokens = stored.body.split_inclusive(' ').count() as u64;
                let _ = pending.reply.send(CallerEvent::Text(stored.body));
                let finish_reason = "stop".to_owned();
                pending.reply.send(CallerEvent::Finished { finish_reason, tokens })
            }
            RequestPayload::Service { .. } => pending.reply.send(CallerEvent::Answer {
                status: stored.status,
                content_type: stored.content_type,
                body: stored.body.into_bytes(),
            }),
        };
    }
}

/// Returns the text of a claim's outcome in the timeline, part of the operators' interface.
fn outcome_name(outcome: ClaimOutcome) -> &'static str {
    match outcome {
        ClaimOutcome::Acquired => "Won",
        ClaimOutcome::Completed => "Done",
        ClaimOutcome::Running => "Running",
        ClaimOutcome::Unknown => "Unknown",
        ClaimOutcome::Unavailable => "Unavailable",
    }
}
