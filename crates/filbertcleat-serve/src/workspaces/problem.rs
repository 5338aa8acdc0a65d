//! An error in the configuration of a workspace.

use std::fmt;

/// An error in the configuration of a workspace. It affects no other workspace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkspaceProblem {
    /// The workspace's name, or its place in the list if it has none.
    pub workspace: String,
    /// What is wrong.
    pub kind: WorkspaceProblemKind,
}

/// What is wrong with the configuration of a workspace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkspaceProblemKind {
    /// The workspace has no name.
    NoName,
    /// Another workspace has the same name.
    DuplicateName,
    /// Another workspace has one of the keys, which is therefore valid for neither.
    SharedKey,
    /// The rate or the burst is negative or not a number.
    InvalidAllowance,
    /// The entry has another form than a workspace has.
    Malformed(String),
}

impl fmt::Display for WorkspaceProblemKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoName => f.write_str("the workspace has no name"),
            Self::DuplicateName => f.write_str("another workspace has the same name"),
            Self::SharedKey => f.write_str("another workspace has one of its API keys"),
            Self::InvalidAllowance => {
                f.write_str("the rate or the burst is not a number of at least 0")
            }
            Self::Malformed(reason) => write!(f, "the entry is malformed: {reason}"),
        }
    }
}
