//! Claims of the entry's requests.

use std::time::Duration;

use filbertcleat_base::Executed;
use filbertcleat_base::RequestId;
use filbertcleat_operate::EventKind;
use filbertcleat_policy::ClaimOutcome;
use filbertcleat_policy::EntryInput;
use filbertcleat_store::ClaimRow;
use filbertcleat_store::ClaimState;

use super::CallerEvent;
use super::ClaimEnd;
use super::EntryEvent;
use super::EntryRole;
use super::Kept;
use super::Work;
use super::claims;
use super::peers::is_running;
use crate::input::Input;
use crate::input::tell;
use crate::node::Node;

impl EntryRole {
    pub(super) fn claimed(&mut self, node: &mut Node, request: &RequestId, end: ClaimEnd) {
        let mut outcome = ClaimOutcome::Unavailable;
        match end {
            ClaimEnd::Won { revision } => {
                outcome = ClaimOutcome::Acquired;
                if let Some(caller) = self.callers.get_mut(request) {
                    caller.claim_revision = Some(revision);
                }
            }
            ClaimEnd::Taken(row) => match row.state {
                ClaimState::Claimed if is_running(node, &row.node) => {
                    outcome = ClaimOutcome::Running;
                }
                ClaimState::Claimed | ClaimState::Unknown => outcome = ClaimOutcome::Unknown,
                ClaimState::Done { status, content_type, body } => {
                    outcome = ClaimOutcome::Completed;
                    if let Some(caller) = self.callers.get_mut(request) {
                        caller.kept = Some(Kept { status, content_type, body });
                    }
                }
            },
            ClaimEnd::Unavailable => self.settle(node, request, None),
        }
        node.note(EventKind::Claim, Some(request), format!("outcome={outcome:?}"));
        self.decide(node, EntryInput::ClaimResult { request: request.clone(), outcome });
    }

    pub(super) fn claim(&mut self, node: &Node, request: &RequestId) {
        let Some(key) = self.callers.get(request).and_then(|caller| caller.key.clone()) else {
            return;
        };
        let wait = Duration::from_millis(node.config.current().limits.claim_wait_ms);
        let (table, inputs, request) = (node.table.clone(), node.inputs.clone(), request.clone());
        let holder = node.holder();
        tokio::spawn(async move {
            let outcome = claims::claim(&table, &key, &request, holder, wait).await;
            tell(&inputs, Input::Entry(EntryEvent::Claimed { request, outcome }));
        });
    }

    /// Releases the claim of a request that was not run, or marks its outcome as unknown.
    pub(super) fn settle(&self, node: &Node, request: &RequestId, run: Option<Executed>) {
        let state = match run {
            Some(Executed::Unknown) => Some(ClaimState::Unknown),
            Some(Executed::No) | None => None,
        };
        self.write_claim(node, request, state);
    }

    pub(super) fn record(
        &self,
        node: &Node,
        request: &RequestId,
        status: u16,
        content_type: &str,
        body: &[u8],
    ) {
        let state = if body.len() <= Self::KEPT_MAX_BYTES {
            let body = String::from_utf8_lossy(body).into_owned();
            ClaimState::Done { status, content_type: content_type.to_owned(), body }
        } else {
            ClaimState::Unknown
        };
        self.write_claim(node, request, Some(state));
    }

    pub(super) fn write_claim(&self, node: &Node, request: &RequestId, state: Option<ClaimState>) {
        let Some(caller) = self.callers.get(request) else {
            return;
        };
        let Some(key) = caller.key.clone() else {
            return;
        };
        let revision = caller.claim_revision;
        let row = state.map(|state| ClaimRow {
            token: request.as_str().to_owned(),
            node: node.holder(),
            state,
        });
        let (table, request) = (node.table.clone(), request.clone());
        tokio::spawn(async move {
            claims::settle(&table, &key, &request, row, revision).await;
        });
    }

    pub(super) fn replay(&mut self, request: &RequestId) {
        let Some(caller) = self.callers.remove(request) else {
            return;
        };
        let Some(kept) = caller.kept else {
            return;
        };
        // Should the caller have gone, there is nobody to replay to.
        let _ = match caller.work {
            Work::Completion { .. } => {
                let tokens = kept.body.split_inclusive(' ').count() as u64;
                let _ = caller.reply.send(CallerEvent::Text(kept.body));
                let finish_reason = "stop".to_owned();
                caller.reply.send(CallerEvent::Finished { finish_reason, tokens })
            }
            Work::Service { .. } => caller.reply.send(CallerEvent::Answer {
                status: kept.status,
                content_type: kept.content_type,
                body: kept.body.into_bytes(),
            }),
        };
    }
}
