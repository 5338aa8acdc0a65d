//! The claim of a non-idempotent request.

mod row;

use filbertcleat_base::NodeName;

pub use self::row::ClaimRow;
pub use self::row::ClaimState;
use crate::Precondition;
use crate::TableOp;
use crate::TableResult;

/// Claims a caller's key, so that its request runs at most once.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Claim {
    key: String,
    row: ClaimRow,
    reading: bool,
}

impl Claim {
    /// Creates the claim of `key` by `node`; `token` is different for each call.
    pub fn new(key: &str, token: &str, node: NodeName) -> Self {
        let row = ClaimRow { token: token.to_owned(), node, state: ClaimState::Claimed };
        Self { key: format!("claim/{key}"), row, reading: false }
    }

    /// Returns the first operation.
    pub fn begin(&mut self) -> TableOp {
        self.write()
    }

    /// Takes in a result and returns what follows.
    ///
    /// A write whose answer was lost is settled by reading the row back. When the row is missing,
    /// the write is made again: if the first one lands late, the second finds its own token.
    pub fn on_result(&mut self, result: &TableResult) -> ClaimStep {
        match result {
            TableResult::Written { revision } => ClaimStep::Acquired { revision: *revision },
            TableResult::Conflict | TableResult::UnknownOutcome => ClaimStep::Execute(self.read()),
            TableResult::NotFound => ClaimStep::Execute(self.write()),
            TableResult::Unavailable => {
                let op = if self.reading { self.read() } else { self.write() };
                ClaimStep::Retry(op)
            }
            TableResult::Found { revision, value } => self.found(*revision, value),
        }
    }

    fn found(&self, revision: u64, value: &[u8]) -> ClaimStep {
        match serde_json::from_slice::<ClaimRow>(value) {
            Ok(row) if row.token == self.row.token => ClaimStep::Acquired { revision },
            Ok(row) => ClaimStep::AlreadyClaimed(row),
            Err(_) => {
                // A row that can't be read proves that somebody has claimed the key.
                let row = ClaimRow { state: ClaimState::Unknown, ..self.row.clone() };
                ClaimStep::AlreadyClaimed(row)
            }
        }
    }

    fn write(&mut self) -> TableOp {
        self.reading = false;
        let value = self.row.to_json();
        TableOp::Write { key: self.key.clone(), precondition: Precondition::Absent, value }
    }

    fn read(&mut self) -> TableOp {
        self.reading = true;
        TableOp::Read { key: self.key.clone() }
    }
}

/// What follows in a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimStep {
    /// Ask the table service at once.
    Execute(TableOp),
    /// Ask the table service after a pause.
    Retry(TableOp),
    /// The key belongs to this call.
    Acquired {
        /// The row's revision.
        revision: u64,
    },
    /// The key belongs to an earlier call.
    AlreadyClaimed(ClaimRow),
}
