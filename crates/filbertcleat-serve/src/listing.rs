//! The catalogue's records of backend servers.

mod change;
mod model;

use std::net::SocketAddr;

use filbertcleat_base::FailureDomain;
use filbertcleat_base::ServiceName;

pub use self::change::ListingChange;
pub use self::model::ListedModel;
use crate::CrashId;
use crate::ServerId;
use crate::SoftwareVersion;

/// The record that a backend server writes about itself into the catalogue.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// The id of the server's incarnation.
    pub id: ServerId,
    /// The service that the server runs.
    pub service: ServiceName,
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// The server's failure domain.
    pub domain: FailureDomain,
    /// The number of requests that the server processes concurrently.
    pub concurrency_limit: u32,
    /// The version of the software that the server runs.
    pub software_version: SoftwareVersion,
    /// Whether the server accepts no new requests.
    pub is_draining: bool,
    /// The base models that were loaded when the server wrote the record.
    pub models: Vec<ListedModel>,
    /// The Unix time of the server's start in milliseconds; 0 if the record does not contain it.
    pub started_unix_ms: u64,
}

impl ListedServer {
    /// Returns the id of the possible end of this start of the server.
    pub fn crash_id(&self) -> CrashId {
        CrashId::of(&self.id, self.started_unix_ms)
    }
}
