//! Responses of the catalogue to writes.

use filbertcleat_base::Fault;

/// The response of the catalogue to the write of a row.
#[derive(Clone, Debug, PartialEq)]
pub struct KeepResponse<R> {
    /// The epoch of the catalogue that the response names; `None` if it names none or did not arrive.
    pub epoch: Option<u64>,
    /// What the write came to. After a fault the row may have been written, or still be.
    pub result: Result<KeepOutcome<R>, Fault>,
}

/// What a write that reached the catalogue came to.
#[derive(Clone, Debug, PartialEq)]
pub enum KeepOutcome<R> {
    /// The row was written.
    Written {
        /// Its new version.
        version: u64,
    },
    /// The row had another version than the write named, and was left as it is.
    Conflict(R),
}
