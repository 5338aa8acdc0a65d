//! What an agent tells all entries about its replica.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::NodeName;
use filbertcleat_base::ServiceName;

/// The state of one replica, as its agent sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaReport {
    /// The agent beside the replica.
    pub node: NodeName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The adapters in its slots.
    pub loaded_adapters: Vec<AdapterRef>,
    /// The adapters that are being loaded or waited for.
    pub pending_adapters: Vec<AdapterRef>,
    /// The number of those that key-account requests wait for.
    pub pending_key_account_adapters: u32,
    /// Requests that wait, within their adapters' shares.
    pub queued_in_share: u32,
    /// Requests that wait beyond their adapters' shares and only fill gaps.
    pub queued_over_share: u32,
    /// Key-account requests among them.
    pub queued_key_account: u32,
    /// Calls in progress, without those that only fill gaps.
    pub running_in_share: u32,
    /// The most calls at a time.
    pub batch_limit: u32,
    /// The number of slots.
    pub slot_limit: u32,
    /// The slots that a load could take at once: for each the requests for its adapter per 1000
    /// seconds, the least first.
    pub spare_rates_per_1000s: Vec<u32>,
    /// How long a call lasts on average.
    pub mean_call_ms: u32,
    /// How long a load takes on average, with the wait for its turn.
    pub mean_load_ms: u32,
}
