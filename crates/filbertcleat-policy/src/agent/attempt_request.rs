//! An attempt that an entry submits to an agent.

use filbertcleat_base::AttemptId;
use filbertcleat_base::Class;
use filbertcleat_base::ConfigVersion;
use filbertcleat_base::MonoTime;
use filbertcleat_base::ServiceName;

use crate::Target;

/// An attempt that an entry submits to an agent.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// The id of the attempt.
    pub attempt: AttemptId,
    /// The service that the attempt is addressed to.
    pub service: ServiceName,
    /// The adapter or plain service to call.
    pub target: Target,
    /// The priority class.
    pub class: Class,
    /// The time by which the caller wants the answer.
    pub deadline: Option<MonoTime>,
    /// The configuration version with which the entry resolved the request.
    pub config_version: ConfigVersion,
    /// When the attempt arrived at the agent.
    pub arrived_at: MonoTime,
    /// The demand for the adapter at all entries together, in requests per 1000 seconds.
    pub demand_per_1000s: u32,
    /// Whether the attempt resumes a stream that the backend server still holds.
    pub is_resume: bool,
}
