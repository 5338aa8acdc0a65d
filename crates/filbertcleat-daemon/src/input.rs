//! What the loop is told.

mod question;

use filbertcleat_base::NodeName;
use filbertcleat_platform::Vm;
use filbertcleat_policy::LoadRequest;
use filbertcleat_wire::v1;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

pub(crate) use self::question::Inspection;
pub(crate) use self::question::PeerQuestion;
use crate::agent::AgentEvent;
use crate::config::ConfigEvent;
use crate::entry::EntryEvent;

/// Something that a task tells the loop.
#[derive(Debug)]
pub(crate) enum Input {
    /// A peer's message.
    Exchange { digest: v1::Digest, reply: oneshot::Sender<v1::Digest> },
    /// The answer to a message of this process.
    ExchangeAnswer { digest: v1::Digest, bytes: usize },
    /// A peer that gave no answer.
    ExchangeFailed { name: NodeName },
    /// A peer asks for the configuration.
    Configuration(PeerQuestion),
    /// A peer asks for status, events or a planned stop.
    Inspect(Inspection),
    /// An agent asks for load turns.
    Turns {
        from: NodeName,
        wants: Vec<LoadRequest>,
        done: u64,
        grants: mpsc::Sender<v1::LoadGrant>,
    },
    /// An agent's stream of load turns has ended.
    TurnsClosed { from: NodeName, grants: mpsc::Sender<v1::LoadGrant> },
    /// The platform's list of VMs.
    Vms(Vec<Vm>),
    /// News of the configuration.
    Config(ConfigEvent),
    /// News for an entry.
    Entry(EntryEvent),
    /// News for an agent.
    Agent(AgentEvent),
    /// The process is to stop.
    Stop,
}

/// Where tasks send what they tell the loop.
pub(crate) type Inputs = mpsc::UnboundedSender<Input>;

/// Tells the loop something; a loop that has ended needs to hear nothing.
pub(crate) fn tell(inputs: &Inputs, input: Input) {
    let _ = inputs.send(input);
}
