//! The run of one deferred request.

use std::time::Duration;

use filbertcleat_base::Executed;
use filbertcleat_base::NodeName;
use filbertcleat_platform::ObjectStore;
use filbertcleat_platform::Table;
use filbertcleat_store::Precondition;
use filbertcleat_store::TableOp;
use filbertcleat_store::TableResult;

use super::row::DeferredRequest;
use super::row::DeferredRow;
use super::row::DeferredState;
use crate::entry::CallerContext;
use crate::entry::callers::RequestHandle;
use crate::entry::pending_request::CallerEvent;
use crate::entry::pending_request::RequestPayload;
use crate::entry::request_headers::RequestHeaders;

/// The run of one deferred request by this entry.
#[derive(Debug)]
pub(super) struct DeferredRun {
    pub context: CallerContext,
    pub holder: NodeName,
    pub key: String,
    pub revision: u64,
    pub row: DeferredRow,
}

impl DeferredRun {
    /// The delay after a failed operation.
    const RETRY_DELAY: Duration = Duration::from_millis(250);

    /// Claims the request, runs it and writes its answer to the row.
    pub async fn run(mut self) {
        // A former holder, which is gone, may have run the request.
        let had_holder = matches!(self.row.state, DeferredState::Taken { .. });
        if had_holder && !self.row.idempotent {
            let reason = "the entry that ran the request is gone".to_owned();
            self.write(DeferredState::Unknown { reason }).await;
            return;
        }
        let fence = self.row.fence + 1;
        self.row.fence = fence;
        if !self.write(DeferredState::Taken { holder: self.holder.clone() }).await {
            return;
        }
        let Some(request) = self.read_request().await else {
            return;
        };
        let state = self.submit(request).await;
        self.write(state).await;
    }

    /// Reads the request's object; writes the failure and returns `None` if that is impossible.
    async fn read_request(&mut self) -> Option<DeferredRequest> {
        loop {
            match self.context.objects.read(&self.key).await {
                Ok(Some(json)) => match serde_json::from_slice(&json) {
                    Ok(request) => return Some(request),
                    Err(error) => {
                        let reason = format!("request can't be read: {error}");
                        self.write(DeferredState::Failed { reason }).await;
                        return None;
                    }
                },
                Ok(None) => {
                    let reason = "request is not in the object store".to_owned();
                    self.write(DeferredState::Failed { reason }).await;
                    return None;
                }
                Err(_) => tokio::time::sleep(Self::RETRY_DELAY).await,
            }
        }
    }

    /// Submits the request like a caller's, and returns the state that follows from its answer.
    async fn submit(&self, request: DeferredRequest) -> DeferredState {
        let headers = RequestHeaders {
            class: request.class,
            non_idempotent: request.non_idempotent,
            idempotency_key: None,
            deadline_ms: request.deadline_ms,
            respond_async: false,
        };
        let body = request.body.into_bytes().into();
        let payload = RequestPayload::Completion { model: request.model, chat: request.chat, body };
        let mut handle = RequestHandle::submit(&self.context, payload, headers);
        let (mut model, mut text) = (String::new(), String::new());
        loop {
            match handle.next().await {
                Some(CallerEvent::Accepted { model: resolved }) => model = resolved,
                Some(CallerEvent::Text(piece)) => text.push_str(&piece),
                Some(CallerEvent::Finished { finish_reason, tokens }) => {
                    return DeferredState::Done { model, text, finish_reason, tokens };
                }
                Some(CallerEvent::NotFound(reason)) => return DeferredState::Failed { reason },
                Some(CallerEvent::Refused(refusal)) => {
                    let is_unknown = refusal.run == Executed::Unknown && !self.row.idempotent;
                    let reason = refusal.fault.to_string();
                    return if is_unknown {
                        DeferredState::Unknown { reason }
                    } else {
                        DeferredState::Waiting
                    };
                }
                Some(CallerEvent::Answer { .. }) => {
                    return DeferredState::Failed {
                        reason: "unexpected kind of answer".to_owned(),
                    };
                }
                None => return DeferredState::Waiting,
            }
        }
    }

    /// Writes the row, retrying until the table service has it.
    ///
    /// Returns `false` if another process has written the row.
    async fn write(&mut self, state: DeferredState) -> bool {
        let row = DeferredRow { state, ..self.row.clone() };
        let value = row.to_json();
        loop {
            let precondition = Precondition::Revision(self.revision);
            let op = TableOp::Write { key: self.key.clone(), precondition, value: value.clone() };
            match self.context.table.execute(&op).await {
                TableResult::Written { revision } => {
                    self.revision = revision;
                    return true;
                }
                TableResult::Conflict | TableResult::UnknownOutcome => {
                    match self.read_back(&value).await {
                        ReadBack::Written => return true,
                        ReadBack::Unchanged => {}
                        ReadBack::Foreign => return false,
                    }
                }
                TableResult::Unavailable | TableResult::NotFound | TableResult::Found { .. } => {}
            }
            tokio::time::sleep(Self::RETRY_DELAY).await;
        }
    }

    /// Reads the row to find out whether a write of unknown outcome took effect.
    async fn read_back(&mut self, value: &[u8]) -> ReadBack {
        loop {
            match self.context.table.execute(&TableOp::Read { key: self.key.clone() }).await {
                TableResult::Found { revision, value: found } if found == value => {
                    self.revision = revision;
                    return ReadBack::Written;
                }
                TableResult::Found { revision, .. } if revision == self.revision => {
                    return ReadBack::Unchanged;
                }
                TableResult::Found { .. } | TableResult::NotFound => return ReadBack::Foreign,
                TableResult::Written { .. }
                | TableResult::Conflict
                | TableResult::UnknownOutcome
                | TableResult::Unavailable => tokio::time::sleep(Self::RETRY_DELAY).await,
            }
        }
    }
}

/// The content of a row after a write of unknown outcome.
enum ReadBack {
    /// The write took effect.
    Written,
    /// The write did not take effect.
    Unchanged,
    /// Another process has written the row.
    Foreign,
}
