//! News for an entry.

use filbertcleat_base::AttemptId;
use filbertcleat_base::Fault;
use filbertcleat_base::NodeName;
use filbertcleat_base::OperatorName;
use filbertcleat_base::RequestId;
use filbertcleat_config::Configuration;
use filbertcleat_config::Patch;
use filbertcleat_config::PatchError;
use filbertcleat_store::ClaimRow;
use filbertcleat_wire::v1;
use std::sync::Arc;
use tokio::sync::oneshot;

use super::caller::Caller;

/// News for an entry.
#[derive(Debug)]
pub(crate) enum EntryEvent {
    /// A caller's request.
    Arrive(Box<Caller>),
    /// A caller has gone away.
    CallerGone { request: RequestId },
    /// An agent's event.
    Attempt { event: v1::AttemptEvent, node: NodeName },
    /// An attempt's stream broke off.
    Lost { attempt: AttemptId, sent: bool, fault: Fault },
    /// A claim has been decided.
    Claimed { request: RequestId, outcome: ClaimEnd },
    /// Accepted work asks whether its holder is still running.
    IsRunning { holder: NodeName, reply: oneshot::Sender<bool> },
    /// Accepted work asks how many entries there are.
    Entries { reply: oneshot::Sender<usize> },
    /// An operator submits a patch.
    Patch {
        patch: Patch,
        reply: oneshot::Sender<Result<filbertcleat_base::ConfigVersion, PatchError>>,
    },
    /// An operator asks for the configuration.
    Configuration { reply: oneshot::Sender<Arc<Configuration>> },
    /// An operator asks for the addresses of all processes.
    Processes { reply: oneshot::Sender<Vec<Process>> },
    /// An operator asks for a planned stop.
    Drain { node: NodeName, operator: OperatorName, reply: oneshot::Sender<Option<String>> },
}

/// How a claim ended.
#[derive(Debug)]
pub(crate) enum ClaimEnd {
    /// The key belongs to this call.
    Won { revision: u64 },
    /// The key belongs to an earlier call.
    Taken(ClaimRow),
    /// The table service gave no answer in time.
    Unavailable,
}

/// A process that an operator's question goes to.
#[derive(Clone, Debug)]
pub(crate) struct Process {
    pub name: NodeName,
    pub address: String,
    pub state: &'static str,
}
