//! The state of a replica as its agent publishes it.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::NodeName;
use filbertcleat_base::ServiceName;

/// The state of one replica, reported by its agent to all entries.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaReport {
    /// The agent of the replica.
    pub node: NodeName,
    /// The service that the replica belongs to.
    pub service: ServiceName,
    /// The loaded adapters.
    pub loaded_adapters: Vec<AdapterRef>,
    /// Adapters that have queued requests and are not loaded yet.
    pub pending_adapters: Vec<AdapterRef>,
    /// The number of pending adapters that have queued key-account requests.
    pub pending_key_account_adapters: u32,
    /// The number of waiting requests within their adapters' fair shares.
    pub queued_in_share: u32,
    /// The number of waiting requests beyond their adapters' fair shares, which run only as
    /// backfill.
    pub queued_over_share: u32,
    /// The number of queued key-account requests.
    pub queued_key_account: u32,
    /// The number of running calls, without backfill.
    pub running_in_share: u32,
    /// The maximum number of concurrent calls.
    pub batch_limit: u32,
    /// The number of adapter slots.
    pub slot_limit: u32,
    /// The slots that a load could take at once: for each the request rate of its adapter per 1000
    /// seconds, in ascending order.
    pub spare_rates_per_1000s: Vec<u32>,
    /// The mean duration of a call.
    pub mean_call_ms: u32,
    /// The mean time from the first request for an adapter to the end of its load.
    pub mean_load_ms: u32,
}
