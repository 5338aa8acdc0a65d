//! Completion of claims.

use crate::ClaimRow;
use crate::Precondition;
use crate::TableOp;
use crate::TableResult;

/// Records the outcome of a claimed request, or releases the claim if the request was not executed.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ClaimCompletion {
    key: String,
    token: String,
    outcome: Option<ClaimRow>,
    revision: Option<u64>,
}

impl ClaimCompletion {
    /// Creates the completion of a claim; without an outcome, the claim is released.
    ///
    /// `revision` is the revision of the claim's row, or `None` if it is unknown because the
    /// answer to the claim was lost.
    pub fn new(key: &str, token: &str, outcome: Option<ClaimRow>, revision: Option<u64>) -> Self {
        Self { key: format!("claim/{key}"), token: token.to_owned(), outcome, revision }
    }

    /// Returns the first table operation.
    pub fn begin(&self) -> TableOp {
        match self.revision {
            Some(revision) => self.write(revision),
            None => self.read(),
        }
    }

    /// Handles the result of the last operation and returns the next step.
    pub fn on_result(&mut self, result: &TableResult) -> ClaimCompletionStep {
        match result {
            // Either the write has taken effect, or there is no row: the claim was never written or
            // is already removed.
            TableResult::Written { .. } | TableResult::NotFound => ClaimCompletionStep::Done,
            TableResult::Conflict | TableResult::UnknownOutcome => {
                ClaimCompletionStep::Execute(self.read())
            }
            TableResult::Unavailable => ClaimCompletionStep::Retry(self.read()),
            TableResult::Found { revision, value } => {
                let row: Option<ClaimRow> = serde_json::from_slice(value).ok();
                let is_own = row.as_ref().is_some_and(|row| row.token == self.token);
                if !is_own || row == self.outcome {
                    return ClaimCompletionStep::Done;
                }
                ClaimCompletionStep::Execute(self.write(*revision))
            }
        }
    }

    fn write(&self, revision: u64) -> TableOp {
        let key = self.key.clone();
        match &self.outcome {
            Some(row) => TableOp::Write {
                key,
                precondition: Precondition::Revision(revision),
                value: row.to_json(),
            },
            None => TableOp::Remove { key, revision },
        }
    }

    fn read(&self) -> TableOp {
        TableOp::Read { key: self.key.clone() }
    }
}

/// The next step of the completion of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimCompletionStep {
    /// Execute the operation immediately.
    Execute(TableOp),
    /// Execute the operation after a pause.
    Retry(TableOp),
    /// Nothing is left to do.
    Done,
}
