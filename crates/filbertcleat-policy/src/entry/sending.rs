//! An attempt to send.

use filbertcleat_base::AttemptId;
use filbertcleat_base::NodeName;
use filbertcleat_base::RequestId;

/// An attempt to send to an agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutboundAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// The request.
    pub request: RequestId,
    /// The agent.
    pub node: NodeName,
    /// The earlier attempt whose stream is to be resumed there.
    pub resume_of: Option<AttemptId>,
    /// The number of chunks that the caller has.
    pub resume_offset: u64,
    /// How often all entries together are asked for the adapter, in requests per 1000 seconds.
    pub demand_per_1000s: u32,
}
