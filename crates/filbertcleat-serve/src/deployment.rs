//! The operators' configuration: routes, services and limits.

mod change;
mod current;
mod fingerprint;
mod limits;
mod model;
mod problem;
mod retry_policy;
mod route;
mod service;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;

use filbertcleat_base::ServiceName;

pub use self::change::DeploymentChange;
pub use self::current::CurrentDeployment;
use self::fingerprint::FingerprintWriter;
pub use self::limits::CallerLimits;
pub use self::model::ModelSpec;
pub use self::problem::DeploymentProblem;
pub use self::retry_policy::RetryPolicy;
pub use self::route::Route;
pub use self::route::Target;
pub use self::service::EngineSpec;
pub use self::service::ServiceSpec;
use crate::Workspaces;

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Deployment {
    /// The version, which increases with each change.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services by name. A request keeps its service after a later configuration has dropped it.
    pub services: BTreeMap<ServiceName, Rc<ServiceSpec>>,
    /// The limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// The workspaces. Without them requests need no API key.
    pub workspaces: Option<Workspaces>,
    /// The items that were left out because they could not be decoded.
    pub problems: Vec<DeploymentProblem>,
}

impl Deployment {
    /// Returns the route for a host and path: of the host's routes whose path prefix matches, the
    /// one with the longest prefix.
    ///
    /// Hosts are compared case-insensitively and without their port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        self.routes
            .iter()
            .filter(|route| {
                route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.path_prefix)
            })
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Returns a hash of the content, which is the same throughout a process.
    fn fingerprint(&self) -> u64 {
        let mut writer = FingerprintWriter::default();
        // Writing to a hash is infallible.
        let _ = write!(writer, "{self:?}");
        writer.finish()
    }
}
