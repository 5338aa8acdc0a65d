//! What an entry is told.

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

/// Something that an entry is told.
#[derive(Clone, Debug)]
pub enum EntryInput {
    /// A caller's request has arrived.
    Request(CallerRequest),
    /// A claim has been decided.
    ClaimResult {
        /// The request.
        request: RequestId,
        /// The outcome.
        outcome: ClaimOutcome,
    },
    /// An agent sent an event of an attempt.
    Event(AttemptEvent),
    /// The stream of an attempt broke off.
    AttemptLost {
        /// The attempt.
        attempt: AttemptId,
        /// Whether any of it may have reached the agent.
        maybe_sent: bool,
        /// What went wrong.
        fault: Fault,
    },
    /// The caller has gone away.
    CallerDisconnected {
        /// The request.
        request: RequestId,
    },
    /// An agent reported its replica.
    Report(ReplicaReport),
    /// A replica became usable or unusable.
    Liveness {
        /// The agent beside it.
        node: NodeName,
        /// Whether it can be used.
        liveness: Liveness,
    },
    /// The number of entries that share the callers, this one among them.
    EntryCount {
        /// The number.
        count: usize,
    },
    /// A configuration version is in force.
    Config {
        /// Its limits.
        limits: Limits,
        /// Its policies.
        policy: Policy,
    },
    /// Time has passed.
    Tick,
}
