//! The run of one asynchronous request.

use std::time::Duration;

use filbertcleat_base::Executed;
use filbertcleat_base::NodeName;
use filbertcleat_platform::ObjectStore;
use filbertcleat_platform::Table;
use filbertcleat_store::Precondition;
use filbertcleat_store::TableOp;
use filbertcleat_store::TableResult;

use super::row::AsyncRequest;
use super::row::AsyncRequestRow;
use super::row::AsyncRequestState;
use crate::entry::CallerContext;
use crate::entry::callers::RequestHandle;
use crate::entry::pending_request::CallerEvent;
use crate::entry::pending_request::RequestPayload;
use crate::entry::request_headers::RequestHeaders;

/// The run of one asynchronous request by this entry.
#[derive(Debug)]
pub(super) struct AsyncRequestRun {
    pub context: CallerContext,
    pub holder: NodeName,
    pub key: String,
    pub revision: u64,
    pub row: AsyncRequestRow,
}

impl AsyncRequestRun {
    /// The delay after a failed operation.
    const RETRY_DELAY: Duration = Duration::from_millis(250);

    /// Claims the request, runs it and writes its answer to the row.
    pub async fn run(mut self) {
        // A former holder, which is gone, may have run the request.
        let had_holder = matches!(self.row.state, AsyncRequestState::Taken { .. });
        if had_holder && !self.row.idempotent {
            let reason = "the entry that ran the request is gone".to_owned();
            self.write(AsyncRequestState::Unknown { reason }).await;
            return;
        }
        let fence = self.row.fence + 1;
        self.row.fence = fence;
        if !self.write(AsyncRequestState::Taken { holder: self.holder.clone() }).await {
            return;
        }
        let Some(request) = self.read_request().await else {
            return;
        };
        let state = self.submit(request).await;
        self.write(state).await;
    }

    /// Reads the request's object; writes the failure and returns `None` if that is impossible.
    async fn read_request(&mut self) -> Option<AsyncRequest> {
        loop {
            match self.context.objects.read(&self.key).await {
                Ok(Some(json)) => match serde_json::from_slice(&json) {
                    Ok(request) => return Some(request),
                    Err(error) => {
                        let reason = format!("request can't be read: {error}");
                        self.write(AsyncRequestState::Failed { reason }).await;
                        return None;
                    }
                },
                Ok(None) => {
                    let reason = "request is not in the object store".to_owned();
                    self.write(AsyncRequestState::Failed { reason }).await;
                    return None;
                }
                Err(_) => tokio::time::sleep(Self::RETRY_DELAY).await,
            }
        }
    }

    /// Submits the request like a caller's, and returns the state that follows from its answer.
    async fn submit(&self, request: AsyncRequest) -> AsyncRequestState {
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
                    return AsyncRequestState::Done { model, text, finish_reason, tokens };
                }
                Some(CallerEvent::NotFound(reason)) => return AsyncRequestState::Failed { reason },
                Some(CallerEvent::Refused(refusal)) => {
                    let is_unknown = refusal.executed == Executed::Unknown && !self.row.idempotent;
                    let reason = refusal.fault.to_string();
                    return if is_unknown {
                        AsyncRequestState::Unknown { reason }
                    } else {
                        AsyncRequestState::Waiting
                    };
                }
                Some(CallerEvent::Answer { .. }) => {
                    return AsyncRequestState::Failed {
                        reason: "unexpected kind of answer".to_owned(),
                    };
                }
                None => return AsyncRequestState::Waiting,
            }
        }
    }

    /// Writes the row, retrying until the table service has it.
    ///
    /// Returns `false` if another process has written the row.
    async fn write(&mut self, state: AsyncRequestState) -> bool {
        let row = AsyncRequestRow { state, ..self.row.clone() };
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
