//! The status of a process.

use std::collections::BTreeMap;

use filbertcleat_base::ConfigVersion;
use filbertcleat_base::FailureDomain;
use filbertcleat_base::NodeName;
use filbertcleat_base::ServiceName;
use filbertcleat_config::Role;
use serde::Deserialize;
use serde::Serialize;

/// The status of one process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ProcessStatus {
    /// The name of the process.
    pub node: NodeName,
    /// The role of the process.
    pub role: Role,
    /// The failure domain in which the process runs.
    #[serde(rename = "place")]
    pub failure_domain: FailureDomain,
    /// The state of the process in the membership.
    pub state: String,
    /// The configuration version in force.
    pub config_version: ConfigVersion,
    /// The number of peers that the process considers live.
    pub peers_live: usize,
    /// The process that coordinates loads from the weight store, as this process sees it.
    #[serde(rename = "keeper")]
    pub load_coordinator: Option<NodeName>,
    /// The number of callers' requests that an entry has not answered yet; 0 at an agent.
    pub requests: usize,
    /// The backend server of an agent; `None` at an entry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replica: Option<ReplicaStatus>,
    /// The totals of the process's counters by metric name.
    #[serde(rename = "totals")]
    pub counters: BTreeMap<String, u64>,
}

/// The status of an agent's backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReplicaStatus {
    /// The service of the backend server.
    pub service: ServiceName,
    /// The adapters in the slots with the number of calls of each, as `name@version=calls`.
    pub slots: Vec<String>,
    /// The number of adapter slots.
    pub slot_limit: usize,
    /// The number of attempts in the queue.
    pub queued: usize,
    /// The number of calls in progress.
    pub running: usize,
    /// The most calls that run at the same time.
    pub batch_limit: usize,
    /// The state of the lease on the backend server: `none`, `held:FENCE`, `lapsed:FENCE` or
    /// `lost`.
    pub lease: String,
}
