//! A request as it reaches an entry.

use filbertcleat_base::Class;
use filbertcleat_base::RequestId;
use filbertcleat_base::ServiceName;

use crate::Target;

/// A caller's request, resolved by the configuration in force.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Its id, unique over all processes.
    pub request: RequestId,
    /// The service.
    pub service: ServiceName,
    /// What it runs on.
    pub target: Target,
    /// Its class.
    pub class: Class,
    /// Whether it may be run more than once.
    pub idempotent: bool,
    /// Whether the caller gave a key by which repeats can be told.
    pub has_idempotency_key: bool,
}
