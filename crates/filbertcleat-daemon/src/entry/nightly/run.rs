//! Runs one accepted request.

use std::time::Duration;

use filbertcleat_base::Executed;
use filbertcleat_base::NodeName;
use filbertcleat_platform::ObjectStore;
use filbertcleat_platform::Table;
use filbertcleat_store::Precondition;
use filbertcleat_store::TableOp;
use filbertcleat_store::TableResult;

use super::row::WorkOrder;
use super::row::WorkRow;
use super::row::WorkState;
use crate::entry::CallerGate;
use crate::entry::caller::CallerEvent;
use crate::entry::caller::Work;
use crate::entry::callers::Ticket;
use crate::entry::request::Marks;

/// One accepted request that this entry takes up.
#[derive(Debug)]
pub(super) struct WorkRun {
    pub gate: CallerGate,
    pub holder: NodeName,
    pub key: String,
    pub revision: u64,
    pub row: WorkRow,
}

impl WorkRun {
    /// The pause after a failed operation.
    const PAUSE: Duration = Duration::from_millis(250);

    /// Takes the request up, runs it and keeps its answer.
    pub async fn run(mut self) {
        // A former holder that is gone may have run it.
        let taken_before = matches!(self.row.state, WorkState::Taken { .. });
        if taken_before && !self.row.idempotent {
            let reason = "the entry that ran it is gone".to_owned();
            self.write(WorkState::Unknown { reason }).await;
            return;
        }
        let fence = self.row.fence + 1;
        self.row.fence = fence;
        if !self.write(WorkState::Taken { holder: self.holder.clone() }).await {
            return;
        }
        let Some(order) = self.order().await else {
            return;
        };
        let state = self.ask(order).await;
        self.write(state).await;
    }

    /// Reads what the caller sent.
    async fn order(&mut self) -> Option<WorkOrder> {
        loop {
            match self.gate.objects.read(&self.key).await {
                Ok(Some(json)) => match serde_json::from_slice(&json) {
                    Ok(order) => return Some(order),
                    Err(error) => {
                        let reason = format!("request can't be read: {error}");
                        self.write(WorkState::Failed { reason }).await;
                        return None;
                    }
                },
                Ok(None) => {
                    let reason = "request is not in the object store".to_owned();
                    self.write(WorkState::Failed { reason }).await;
                    return None;
                }
                Err(_) => tokio::time::sleep(Self::PAUSE).await,
            }
        }
    }

    async fn ask(&self, order: WorkOrder) -> WorkState {
        let marks = Marks {
            class: order.class,
            non_idempotent: order.non_idempotent,
            key: None,
            deadline_ms: order.deadline_ms,
            respond_async: false,
        };
        let body = order.body.into_bytes().into();
        let work = Work::Completion { model: order.model, chat: order.chat, body };
        let mut ticket = Ticket::submit(&self.gate, work, marks);
        let (mut model, mut text) = (String::new(), String::new());
        loop {
            match ticket.next().await {
                Some(CallerEvent::Accepted { model: resolved }) => model = resolved,
                Some(CallerEvent::Text(piece)) => text.push_str(&piece),
                Some(CallerEvent::Finished { finish_reason, tokens }) => {
                    return WorkState::Done { model, text, finish_reason, tokens };
                }
                Some(CallerEvent::NotFound(reason)) => return WorkState::Failed { reason },
                Some(CallerEvent::Refused(refusal)) => {
                    let unknown = refusal.run == Executed::Unknown && !self.row.idempotent;
                    let reason = refusal.fault.to_string();
                    return if unknown {
                        WorkState::Unknown { reason }
                    } else {
                        WorkState::Waiting
                    };
                }
                Some(CallerEvent::Answer { .. }) => {
                    return WorkState::Failed { reason: "unexpected kind of answer".to_owned() };
                }
                None => return WorkState::Waiting,
            }
        }
    }

    /// Writes the row until the table service has it; `false` means that another holds it.
    async fn write(&mut self, state: WorkState) -> bool {
        let row = WorkRow { state, ..self.row.clone() };
        let value = row.to_json();
        loop {
            let precondition = Precondition::Revision(self.revision);
            let op = TableOp::Write { key: self.key.clone(), precondition, value: value.clone() };
            match self.gate.table.execute(&op).await {
                TableResult::Written { revision } => {
                    self.revision = revision;
                    return true;
                }
                TableResult::Conflict | TableResult::UnknownOutcome => {
                    match self.read_back(&value).await {
                        ReadBack::Mine => return true,
                        ReadBack::Old => {}
                        ReadBack::Other => return false,
                    }
                }
                TableResult::Unavailable | TableResult::NotFound | TableResult::Found { .. } => {}
            }
            tokio::time::sleep(Self::PAUSE).await;
        }
    }

    async fn read_back(&mut self, value: &[u8]) -> ReadBack {
        loop {
            match self.gate.table.execute(&TableOp::Read { key: self.key.clone() }).await {
                TableResult::Found { revision, value: found } if found == value => {
                    self.revision = revision;
                    return ReadBack::Mine;
                }
                TableResult::Found { revision, .. } if revision == self.revision => {
                    return ReadBack::Old;
                }
                TableResult::Found { .. } | TableResult::NotFound => return ReadBack::Other,
                TableResult::Written { .. }
                | TableResult::Conflict
                | TableResult::UnknownOutcome
                | TableResult::Unavailable => tokio::time::sleep(Self::PAUSE).await,
            }
        }
    }
}

/// What a row says after a write of unknown outcome.
enum ReadBack {
    /// The write took effect.
    Mine,
    /// It did not.
    Old,
    /// Another process has written the row.
    Other,
}
