//! The input of a routing decision.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::Class;
use filbertcleat_base::NodeName;
use filbertcleat_base::ServiceName;

/// A request for which a replica is to be selected.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The service to call.
    pub service: &'a ServiceName,
    /// The adapter to call, or `None` for a plain service.
    pub adapter: Option<&'a AdapterRef>,
    /// The priority class.
    pub class: Class,
    /// Agents that must not be selected, since earlier attempts at them failed.
    pub excluded: &'a [NodeName],
}
