//! The error that crosses crates.

use std::fmt::Display;

use thiserror::Error;

use crate::Step;

/// A fault with the step and the peer at which it arose.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{step} at {peer}: {reason}")]
pub struct Fault {
    /// The step that failed.
    pub step: Step,
    /// The process, backend server or platform service that was spoken to.
    pub peer: String,
    /// What went wrong.
    pub reason: String,
}

impl Fault {
    /// Creates a fault.
    pub fn new(step: Step, peer: impl Display, reason: impl Display) -> Self {
        Self { step, peer: peer.to_string(), reason: reason.to_string() }
    }
}
