//! What a replica is looked for.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::Class;
use filbertcleat_base::NodeName;
use filbertcleat_base::ServiceName;

/// A request that needs a replica.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The adapter, unless the service is a plain one.
    pub adapter: Option<&'a AdapterRef>,
    /// The class.
    pub class: Class,
    /// Agents that have refused the request.
    pub excluded: &'a [NodeName],
}
