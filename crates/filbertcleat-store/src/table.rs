//! Operations on the table service.

/// One operation on one row.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum TableOp {
    /// Reads the row.
    Read {
        /// The row's key.
        key: String,
    },
    /// Writes the row if the precondition holds.
    Write {
        /// The row's key.
        key: String,
        /// The condition on the current row.
        precondition: Precondition,
        /// The new value.
        value: Vec<u8>,
    },
    /// Removes the row if it has the given revision.
    Remove {
        /// The row's key.
        key: String,
        /// The required revision.
        revision: u64,
    },
}

impl TableOp {
    /// Returns the row's key.
    pub fn key(&self) -> &str {
        match self {
            Self::Read { key } | Self::Write { key, .. } | Self::Remove { key, .. } => key,
        }
    }

    /// Returns whether the operation changes the row.
    pub fn is_write(&self) -> bool {
        match self {
            Self::Read { .. } => false,
            Self::Write { .. } | Self::Remove { .. } => true,
        }
    }
}

/// The condition under which a write takes effect.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Precondition {
    /// The row does not exist.
    Absent,
    /// The row has this revision.
    Revision(u64),
}

/// The result of a table operation.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum TableResult {
    /// A read found the row.
    Found {
        /// The row's revision, which increases with each write.
        revision: u64,
        /// The row's value.
        value: Vec<u8>,
    },
    /// The row does not exist.
    NotFound,
    /// The write took effect.
    Written {
        /// The row's new revision.
        revision: u64,
    },
    /// The precondition did not hold, and nothing was written.
    Conflict,
    /// The answer was lost; a write may or may not have taken effect.
    UnknownOutcome,
    /// The service rejected the operation or could not be reached, and nothing was written.
    Unavailable,
}
