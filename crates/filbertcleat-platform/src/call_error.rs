//! Errors of HTTP calls.

use filbertcleat_base::Fault;
use thiserror::Error;

/// The error of an HTTP call.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{fault}")]
pub struct CallError {
    /// Whether any part of the request may have reached the peer.
    pub sent: bool,
    /// The cause of the error.
    pub fault: Fault,
}
