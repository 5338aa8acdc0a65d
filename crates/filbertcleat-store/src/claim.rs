//! The claim of a non-idempotent request.

use filbertcleat_base::NodeName;
use serde::Deserialize;
use serde::Serialize;

use crate::Expect;
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
    pub fn step(&mut self, result: &TableResult) -> ClaimStep {
        match result {
            TableResult::Written { revision } => ClaimStep::Won { revision: *revision },
            TableResult::Conflict | TableResult::Lost => ClaimStep::Ask(self.read()),
            TableResult::Missing => ClaimStep::Ask(self.write()),
            TableResult::Down => {
                let op = if self.reading { self.read() } else { self.write() };
                ClaimStep::Wait(op)
            }
            TableResult::Found { revision, value } => self.found(*revision, value),
        }
    }

    fn found(&self, revision: u64, value: &[u8]) -> ClaimStep {
        match serde_json::from_slice::<ClaimRow>(value) {
            Ok(row) if row.token == self.row.token => ClaimStep::Won { revision },
            Ok(row) => ClaimStep::Taken(row),
            Err(_) => {
                // A row that can't be read proves that somebody has claimed the key.
                let row = ClaimRow { state: ClaimState::Unknown, ..self.row.clone() };
                ClaimStep::Taken(row)
            }
        }
    }

    fn write(&mut self) -> TableOp {
        self.reading = false;
        let value = self.row.to_json();
        TableOp::Write { key: self.key.clone(), expect: Expect::Absent, value }
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
    Ask(TableOp),
    /// Ask the table service after a pause.
    Wait(TableOp),
    /// The key belongs to this call.
    Won {
        /// The row's revision.
        revision: u64,
    },
    /// The key belongs to an earlier call.
    Taken(ClaimRow),
}

/// The row of a claimed key.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ClaimRow {
    /// Tells the call that owns the key.
    pub token: String,
    /// The entry that made it.
    pub node: NodeName,
    /// What is known of it.
    pub state: ClaimState,
}

impl ClaimRow {
    /// Writes the row as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a claim has only string keys")
    }
}

/// What is known of a claimed call.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// It may be running.
    Claimed,
    /// It was answered.
    Done {
        /// The HTTP status of the answer.
        status: u16,
        /// The content type of the answer.
        content_type: String,
        /// The body of the answer.
        body: String,
    },
    /// It may have been run, and no answer came.
    Unknown,
}
