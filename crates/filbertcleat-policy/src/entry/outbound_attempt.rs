//! An attempt to send to an agent.

use filbertcleat_base::AttemptId;
use filbertcleat_base::NodeName;
use filbertcleat_base::RequestId;

/// An attempt to send to an agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutboundAttempt {
    /// The id of the attempt.
    pub attempt: AttemptId,
    /// The id of the request.
    pub request: RequestId,
    /// The agent to send the attempt to.
    pub node: NodeName,
    /// The earlier attempt whose stream the attempt resumes.
    pub resume_of: Option<AttemptId>,
    /// The number of chunks to skip when a stream is resumed.
    pub resume_offset: u64,
    /// The demand for the adapter at all entries together, in requests per 1000 seconds.
    pub demand_per_1000s: u32,
}
