//! What the deployment's list says of a backend server.

use std::net::SocketAddr;

use filbertcleat_base::AdapterName;
use filbertcleat_base::ModelName;
use filbertcleat_base::PlaceName;
use filbertcleat_base::ServiceName;

use crate::ServerId;

/// A backend server as it describes itself in the deployment's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// The id of this incarnation.
    pub id: ServerId,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: PlaceName,
    /// The requests that it works on at once.
    pub slots: u32,
    /// Whether it takes no new requests.
    pub is_leaving: bool,
    /// The models that it held when it wrote the entry.
    pub models: Vec<ListedModel>,
    /// The Unix time of its start, if it says so.
    pub born_ms: u64,
}

/// A base model that a backend server held when it described itself.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedModel {
    /// The model.
    pub name: ModelName,
    /// Its adapters with their versions, as far as stated.
    pub adapters: Vec<(AdapterName, Option<u64>)>,
}

/// A change of the deployment's list.
#[derive(Clone, Debug, PartialEq)]
pub enum ListingChange {
    /// The list as a whole; a backend server that it lacks is gone.
    Whole(Vec<Listed>),
    /// A backend server described itself anew.
    Put(Listed),
    /// A backend server's entry is gone.
    Gone(ServerId),
    /// An entry that names no usable backend server took the place of an earlier one.
    Spoilt(ServerId),
}
