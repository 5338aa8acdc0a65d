//! The operators' configuration in force.

mod limits;
mod model;
mod route;
mod rule;
mod service;

use std::collections::BTreeMap;

use filbertcleat_base::ServiceName;

pub use self::limits::CallerLimits;
pub use self::model::ModelSpec;
pub use self::route::Route;
pub use self::route::Target;
pub use self::rule::RetryPolicy;
pub use self::service::EngineSpec;
pub use self::service::ServiceSpec;

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Deployment {
    /// The version; versions only grow.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl Deployment {
    /// Returns the route of the host with the longest prefix that begins the path.
    ///
    /// Hosts are compared without their port and without regard to case.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        self.routes
            .iter()
            .filter(|route| {
                route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.path_prefix)
            })
            .max_by_key(|route| route.path_prefix.len())
    }
}
