//! Events for the agent's part of the event loop.

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

/// An event for the agent's part of the event loop.
#[derive(Debug)]
pub(crate) enum AgentEvent {
    /// An entry has sent an attempt; its events go back on `events`.
    AttemptReceived {
        request: Box<v1::AttemptRequest>,
        events: mpsc::UnboundedSender<v1::AttemptEvent>,
    },
    /// The entry has dropped the event stream of an attempt, which cancels the attempt.
    AttemptCancelled { attempt: AttemptId },
    /// The engine has sent a piece of a completion.
    Chunk { attempt: AttemptId, text: String },
    /// The engine's stream of a completion failed before its end.
    StreamBroken { attempt: AttemptId, fault: Fault, resumable: bool },
    /// A call of the backend server has ended, with the last event of the attempt.
    CallEnded { attempt: AttemptId, kind: AttemptEventKind },
    /// The engine has loaded an adapter.
    Loaded { adapter: AdapterRef },
    /// A load has failed; `known_absent` means that the engine has certainly not loaded the
    /// adapter.
    LoadFailed { adapter: AdapterRef, known_absent: bool, reason: String },
    /// The load coordinator permits a load for `hold_ms`.
    LoadGranted { grant_id: u64, adapter: AdapterRef, hold_ms: u64 },
    /// The stream to a load coordinator has ended.
    CoordinatorLost { coordinator: NodeName },
    /// The engine has listed its loaded adapters, or `None` if it did not answer.
    AdapterList { listing: Option<AdapterListing> },
    /// The engine has returned its statistics, or `None` if it did not answer.
    EngineStats { stats: Option<EngineStats> },
    /// The table service has answered an operation on the lease.
    LeaseResult { result: TableResult },
}
