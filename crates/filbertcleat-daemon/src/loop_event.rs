//! Events that tasks send to the event loop.

mod request;

use filbertcleat_base::NodeName;
use filbertcleat_platform::Vm;
use filbertcleat_policy::LoadRequest;
use filbertcleat_wire::v1;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

pub(crate) use self::request::ConfigRequest;
pub(crate) use self::request::OperatorRequest;
use crate::agent::AgentEvent;
use crate::config::ConfigEvent;
use crate::entry::EntryEvent;

/// An event for the event loop.
#[derive(Debug)]
pub(crate) enum LoopEvent {
    /// A peer has sent its membership digest and expects this process's digest.
    ExchangeRequest { digest: v1::Digest, reply: oneshot::Sender<v1::Digest> },
    /// A peer has answered a digest of this process; `bytes` is the encoded length of the answer.
    ExchangeResponse { digest: v1::Digest, bytes: usize },
    /// A peer has not answered a digest of this process.
    ExchangeFailed { name: NodeName },
    /// A peer requests patches or a snapshot of the configuration.
    ConfigRequest(ConfigRequest),
    /// An entry forwards an operator's request for status, events or a drain.
    OperatorRequest(OperatorRequest),
    /// An agent requests load permits, and releases its permit `released_grant` (0: none).
    LoadRequests {
        from: NodeName,
        requests: Vec<LoadRequest>,
        released_grant: u64,
        grants: mpsc::Sender<v1::LoadGrant>,
    },
    /// An agent's stream of load requests has ended.
    LoadStreamClosed { from: NodeName, grants: mpsc::Sender<v1::LoadGrant> },
    /// The platform's list of VMs has been read.
    VmList(Vec<Vm>),
    /// An event of the configuration.
    Config(ConfigEvent),
    /// An event for an entry.
    Entry(EntryEvent),
    /// An event for an agent.
    Agent(AgentEvent),
    /// The process is to drain and exit.
    Stop,
}

/// The channel on which tasks send events to the event loop.
pub(crate) type LoopSender = mpsc::UnboundedSender<LoopEvent>;

/// Sends an event to the event loop; the event is dropped if the loop has ended.
pub(crate) fn send_to_loop(loop_sender: &LoopSender, event: LoopEvent) {
    let _ = loop_sender.send(event);
}
