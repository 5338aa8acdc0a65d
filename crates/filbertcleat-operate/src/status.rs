//! What a process tells operators of itself.

use std::collections::BTreeMap;

use filbertcleat_base::ConfigVersion;
use filbertcleat_base::FailureDomain;
use filbertcleat_base::NodeName;
use filbertcleat_base::ServiceName;
use filbertcleat_config::Role;
use serde::Deserialize;
use serde::Serialize;

/// The state of one process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ProcessStatus {
    /// Its name.
    pub node: NodeName,
    /// Its role.
    pub role: Role,
    /// Its place.
    #[serde(rename = "place")]
    pub failure_domain: FailureDomain,
    /// Its state in the membership, as a word.
    pub state: String,
    /// The configuration version in force.
    pub config_version: ConfigVersion,
    /// The peers that it takes for live.
    pub peers_live: usize,
    /// The process whose keeper gives the load turns, in this process's view.
    #[serde(rename = "keeper")]
    pub load_coordinator: Option<NodeName>,
    /// The requests of callers that an entry holds.
    pub requests: usize,
    /// The replica beside an agent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replica: Option<ReplicaStatus>,
    /// Its counters.
    #[serde(rename = "totals")]
    pub counters: BTreeMap<String, u64>,
}

/// The state of the replica beside an agent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReplicaStatus {
    /// Its service.
    pub service: ServiceName,
    /// The adapters in its slots with the calls that each serves, as `name@version=calls`.
    pub slots: Vec<String>,
    /// The number of its slots.
    pub slot_limit: usize,
    /// The requests that wait.
    pub queued: usize,
    /// The calls in progress.
    pub running: usize,
    /// The most calls at a time.
    pub batch_limit: usize,
    /// The lease on the backend server, as a word.
    pub lease: String,
}
