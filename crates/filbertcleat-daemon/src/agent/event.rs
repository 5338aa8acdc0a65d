//! News for an agent.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::AttemptId;
use filbertcleat_base::Fault;
use filbertcleat_base::NodeName;
use filbertcleat_platform::AdapterListing;
use filbertcleat_platform::EngineStats;
use filbertcleat_policy::AttemptEventKind;
use filbertcleat_store::TableResult;
use filbertcleat_wire::v1;
use tokio::sync::mpsc;

/// News for an agent.
#[derive(Debug)]
pub(crate) enum AgentEvent {
    /// An entry offers an attempt.
    Offer { request: Box<v1::AttemptRequest>, events: mpsc::UnboundedSender<v1::AttemptEvent> },
    /// The entry has dropped an attempt's stream.
    Cancel { attempt: AttemptId },
    /// A piece of an answer.
    Chunk { attempt: AttemptId, text: String },
    /// A call's stream broke off.
    Broken { attempt: AttemptId, fault: Fault, resumable: bool },
    /// A call has ended.
    Ended { attempt: AttemptId, kind: AttemptEventKind },
    /// A load is done.
    Loaded { adapter: AdapterRef },
    /// A load has failed.
    LoadFailed { adapter: AdapterRef, certain: bool, reason: String },
    /// The keeper gives a turn.
    Granted { grant: u64, adapter: AdapterRef, hold_ms: u64 },
    /// The stream to a keeper has ended.
    KeeperLost { keeper: NodeName },
    /// The engine's own list of its adapters, or none if it gave no answer.
    Listing { listing: Option<AdapterListing> },
    /// The engine's report, or none if it gave no answer.
    Load { report: Option<EngineStats> },
    /// The table service's word on the lease.
    Lease { result: TableResult },
}
