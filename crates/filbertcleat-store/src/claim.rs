//! Claims of idempotency keys.

mod row;

use filbertcleat_base::NodeName;

pub use self::row::ClaimRow;
pub use self::row::ClaimState;
use crate::Precondition;
use crate::TableOp;
use crate::TableResult;

/// Claims the idempotency key of a non-idempotent request, so that it runs at most once.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Claim {
    key: String,
    row: ClaimRow,
    is_reading: bool,
}

impl Claim {
    /// Creates a claim of `key` by `node`; `token` must be unique to the call.
    pub fn new(key: &str, token: &str, node: NodeName) -> Self {
        let row = ClaimRow { token: token.to_owned(), node, state: ClaimState::Claimed };
        Self { key: format!("claim/{key}"), row, is_reading: false }
    }

    /// Returns the first table operation.
    pub fn begin(&mut self) -> TableOp {
        self.write()
    }

    /// Handles the result of the last operation and returns the next step.
    ///
    /// After a write with an unknown outcome, the row is read back. If the row doesn't exist, the
    /// write is repeated: should the first write take effect late, reading the row back after the
    /// conflict finds the call's own token.
    pub fn on_result(&mut self, result: &TableResult) -> ClaimStep {
        match result {
            TableResult::Written { revision } => ClaimStep::Acquired { revision: *revision },
            TableResult::Conflict | TableResult::UnknownOutcome => ClaimStep::Execute(self.read()),
            TableResult::NotFound => ClaimStep::Execute(self.write()),
            TableResult::Unavailable => {
                let op = if self.is_reading { self.read() } else { self.write() };
                ClaimStep::Retry(op)
            }
            TableResult::Found { revision, value } => self.on_found(*revision, value),
        }
    }

    fn on_found(&self, revision: u64, value: &[u8]) -> ClaimStep {
        match serde_json::from_slice::<ClaimRow>(value) {
            Ok(row) if row.token == self.row.token => ClaimStep::Acquired { revision },
            Ok(row) => ClaimStep::AlreadyClaimed(row),
            Err(_) => {
                // An unreadable row still proves that the key has been claimed.
                let row = ClaimRow { state: ClaimState::Unknown, ..self.row.clone() };
                ClaimStep::AlreadyClaimed(row)
            }
        }
    }

    fn write(&mut self) -> TableOp {
        self.is_reading = false;
        let value = self.row.to_json();
        TableOp::Write { key: self.key.clone(), precondition: Precondition::Absent, value }
    }

    fn read(&mut self) -> TableOp {
        self.is_reading = true;
        TableOp::Read { key: self.key.clone() }
    }
}

/// The next step of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimStep {
    /// Execute the operation immediately.
    Execute(TableOp),
    /// Execute the operation after a pause.
    Retry(TableOp),
    /// This call owns the key.
    Acquired {
        /// The row's revision.
        revision: u64,
    },
    /// An earlier call owns the key.
    AlreadyClaimed(ClaimRow),
}
