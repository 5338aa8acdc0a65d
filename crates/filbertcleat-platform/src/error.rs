//! Errors of calls over HTTP.

use filbertcleat_base::Fault;
use thiserror::Error;

/// A call that got no answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{fault}")]
pub struct CallError {
    /// Whether any of the call may have reached the peer.
    pub sent: bool,
    /// What went wrong, and where.
    pub fault: Fault,
}
