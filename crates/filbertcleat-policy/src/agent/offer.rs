//! An attempt as it reaches an agent.

use filbertcleat_base::AttemptId;
use filbertcleat_base::Class;
use filbertcleat_base::ConfigVersion;
use filbertcleat_base::MonoTime;
use filbertcleat_base::ServiceName;

use crate::Target;

/// An attempt that an entry offers an agent.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// The service that it is meant for.
    pub service: ServiceName,
    /// What it runs on.
    pub target: Target,
    /// Its class.
    pub class: Class,
    /// The time by which the caller wants the answer.
    pub deadline: Option<MonoTime>,
    /// The configuration version that the entry resolved it with.
    pub config_version: ConfigVersion,
    /// When it arrived.
    pub arrived_at: MonoTime,
    /// How often all entries together are asked for the adapter, in requests per 1000 seconds.
    pub demand_per_1000s: u32,
    /// Whether it resumes a stream that the backend server still holds.
    pub is_resume: bool,
}
