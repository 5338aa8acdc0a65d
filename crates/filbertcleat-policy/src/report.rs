//! What an agent tells all entries about its replica.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::NodeName;
use filbertcleat_base::ServiceName;

/// The state of one replica, as its agent sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The agent beside the replica.
    pub node: NodeName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The adapters in its slots.
    pub resident: Vec<AdapterRef>,
    /// The adapters that are being loaded or waited for.
    pub wanted: Vec<AdapterRef>,
    /// The number of those that key-account requests wait for.
    pub wanted_key: u32,
    /// Requests that wait, within their adapters' shares.
    pub queued: u32,
    /// Requests that wait beyond their adapters' shares and only fill gaps.
    pub queued_over: u32,
    /// Key-account requests among them.
    pub queued_key: u32,
    /// Calls in progress, without those that only fill gaps.
    pub running: u32,
    /// The most calls at a time.
    pub batch_limit: u32,
    /// The number of slots.
    pub slot_limit: u32,
    /// The slots that a load could take at once: for each the requests for its adapter per 1000
    /// seconds, the least first.
    pub spare: Vec<u32>,
    /// How long a call lasts on average.
    pub call_ms: u32,
    /// How long a load takes on average, with the wait for its turn.
    pub load_ms: u32,
}
