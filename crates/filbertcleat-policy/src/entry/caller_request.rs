//! A caller's request.

use filbertcleat_base::Class;
use filbertcleat_base::RequestId;
use filbertcleat_base::ServiceName;

use crate::Target;

/// A caller's request, resolved with the configuration in force.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The id of the request, unique across all processes.
    pub id: RequestId,
    /// The service to call.
    pub service: ServiceName,
    /// The adapter or plain service to call.
    pub target: Target,
    /// The priority class.
    pub class: Class,
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// Whether the caller gave an idempotency key, which identifies repeated requests.
    pub has_idempotency_key: bool,
}
