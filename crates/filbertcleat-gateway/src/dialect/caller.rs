//! For whom an attempt is made.

use filbertcleat_base::WorkspaceName;

/// For whom an attempt is made, as the backend server is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptCaller {
    /// The deployment has no workspaces; the caller's headers are forwarded unchanged.
    Unchecked,
    /// The route needs no API key.
    Anonymous,
    /// The workspace that holds the caller's API key.
    Workspace(WorkspaceName),
}
