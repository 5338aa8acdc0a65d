//! The end of a claimed request.

use crate::ClaimRow;
use crate::Precondition;
use crate::TableOp;
use crate::TableResult;

/// Writes the outcome of a claimed request, or releases the claim of one that was not run.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ClaimCompletion {
    key: String,
    token: String,
    outcome: Option<ClaimRow>,
    revision: Option<u64>,
}

impl ClaimCompletion {
    /// Creates the end of a claim; without an outcome the claim is released.
    ///
    /// The revision may be unknown, when the claim's own answer never came.
    pub fn new(key: &str, token: &str, outcome: Option<ClaimRow>, revision: Option<u64>) -> Self {
        Self { key: format!("claim/{key}"), token: token.to_owned(), outcome, revision }
    }

    /// Returns the first operation.
    pub fn begin(&self) -> TableOp {
        match self.revision {
            Some(revision) => self.write(revision),
            None => self.read(),
        }
    }

    /// Takes in a result and returns what follows.
    pub fn on_result(&mut self, result: &TableResult) -> ClaimCompletionStep {
        match result {
            // Either the row says it, or the claim or its removal never was or already is in effect.
            TableResult::Written { .. } | TableResult::NotFound => ClaimCompletionStep::Done,
            TableResult::Conflict | TableResult::UnknownOutcome => {
                ClaimCompletionStep::Execute(self.read())
            }
            TableResult::Unavailable => ClaimCompletionStep::Retry(self.read()),
            TableResult::Found { revision, value } => {
                let row: Option<ClaimRow> = serde_json::from_slice(value).ok();
                let mine = row.as_ref().is_some_and(|row| row.token == self.token);
                if !mine || row == self.outcome {
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

/// What follows in the end of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimCompletionStep {
    /// Ask the table service at once.
    Execute(TableOp),
    /// Ask the table service after a pause.
    Retry(TableOp),
    /// The row says what is to be said.
    Done,
}
