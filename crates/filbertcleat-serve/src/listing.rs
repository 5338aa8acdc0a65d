//! What the deployment's list says of a backend server.

mod change;
mod model;

use std::net::SocketAddr;

use filbertcleat_base::FailureDomain;
use filbertcleat_base::ServiceName;

pub use self::change::ListingChange;
pub use self::model::ListedModel;
use crate::ServerId;

/// A backend server as it describes itself in the deployment's list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// The id of this incarnation.
    pub id: ServerId,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The requests that it works on at once.
    pub concurrency_limit: u32,
    /// Whether it takes no new requests.
    pub is_draining: bool,
    /// The models that it held when it wrote the entry.
    pub models: Vec<ListedModel>,
    /// The Unix time of its start, if it says so.
    pub started_unix_ms: u64,
}
