//! A request that leaves the queue for an engine.

use super::Ticket;
use crate::RequestDemand;
use crate::ServerId;

/// A request that leaves the queue for an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct SentRequest {
    /// The request's position in the queue.
    pub ticket: Ticket,
    /// The engine's backend server.
    pub server: ServerId,
    /// The request's demand.
    pub demand: RequestDemand,
    /// The time that the engine is expected to need for the prompts ahead of this one.
    pub backlog_ms: f64,
}
