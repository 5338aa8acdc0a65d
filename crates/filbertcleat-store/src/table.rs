//! Operations of the table service.

/// One operation on one row.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum TableOp {
    /// Reads the row.
    Read {
        /// The row's key.
        key: String,
    },
    /// Writes the row if it is as expected.
    Write {
        /// The row's key.
        key: String,
        /// What the row has to be.
        precondition: Precondition,
        /// The new value.
        value: Vec<u8>,
    },
    /// Removes the row if it is as expected.
    Remove {
        /// The row's key.
        key: String,
        /// The revision that it has to have.
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

/// What a row has to be for a write to take effect.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Precondition {
    /// There is no row.
    Absent,
    /// The row has this revision.
    Revision(u64),
}

/// The result of an operation.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum TableResult {
    /// The row that was read.
    Found {
        /// Its revision, which grows with each write.
        revision: u64,
        /// Its value.
        value: Vec<u8>,
    },
    /// There is no row.
    NotFound,
    /// The write took effect.
    Written {
        /// The row's new revision.
        revision: u64,
    },
    /// The row was not as expected, and nothing was written.
    Conflict,
    /// No answer came: a write may have taken effect or not.
    UnknownOutcome,
    /// The service refused or could not be reached, and nothing was written.
    Unavailable,
}
