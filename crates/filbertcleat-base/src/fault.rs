//! The error type shared by all crates.

use std::fmt::Display;

use thiserror::Error;

use crate::Step;

/// An error with the processing step and the peer at which it occurred.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{step} at {peer}: {reason}")]
pub struct Fault {
    /// The step that failed.
    pub step: Step,
    /// The process, backend server, platform service or resource that was involved.
    pub peer: String,
    /// A description of the error.
    pub reason: String,
}

impl Fault {
    /// Creates a fault from its step, peer and description.
    pub fn new(step: Step, peer: impl Display, reason: impl Display) -> Self {
        Self { step, peer: peer.to_string(), reason: reason.to_string() }
    }
}
