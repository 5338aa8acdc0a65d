//! Inputs of an entry.

use filbertcleat_base::AttemptId;
use filbertcleat_base::Fault;
use filbertcleat_base::NodeName;
use filbertcleat_base::RequestId;
use filbertcleat_config::Limits;
use filbertcleat_config::Policy;

use super::CallerRequest;
use super::ClaimOutcome;
use crate::AttemptEvent;
use crate::Liveness;
use crate::ReplicaReport;

/// An event that an entry has to handle.
#[derive(Clone, Debug)]
pub enum EntryInput {
    /// A caller's request arrived.
    Request(CallerRequest),
    /// The attempt to claim a request's idempotency key ended.
    ClaimResult {
        /// The request.
        request: RequestId,
        /// The outcome of the claim.
        outcome: ClaimOutcome,
    },
    /// An agent sent an event of an attempt.
    Event(AttemptEvent),
    /// The connection of an attempt failed.
    AttemptLost {
        /// The attempt.
        attempt: AttemptId,
        /// Whether any part of the attempt may have reached the agent.
        maybe_sent: bool,
        /// The fault that ended the connection.
        fault: Fault,
    },
    /// The caller closed its connection.
    CallerDisconnected {
        /// The request.
        request: RequestId,
    },
    /// An agent reported the state of its replica.
    Report(ReplicaReport),
    /// The liveness of a replica changed.
    Liveness {
        /// The agent of the replica.
        node: NodeName,
        /// The new liveness.
        liveness: Liveness,
    },
    /// The number of live entries changed.
    EntryCount {
        /// The number of entries, including this one.
        count: usize,
    },
    /// A configuration version came into force.
    Config {
        /// The limits of the version.
        limits: Limits,
        /// The policies of the version.
        policy: Policy,
    },
    /// Time has passed.
    Tick,
}
