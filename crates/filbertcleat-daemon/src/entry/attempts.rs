//! Attempts at agents.

use filbertcleat_base::AttemptId;
use filbertcleat_base::Fault;
use filbertcleat_base::NodeName;
use filbertcleat_base::Step;
use filbertcleat_wire::v1;
use filbertcleat_wire::v1::attempt_event::Event;
use tokio::sync::oneshot;
use tonic::Code;
use tonic::Status;

use super::EntryEvent;
use crate::input::Input;
use crate::input::Inputs;
use crate::input::tell;
use crate::peers::Peers;

/// An attempt on its way.
#[derive(Debug)]
pub(super) struct Attempt {
    pub id: AttemptId,
    pub node: NodeName,
    pub address: String,
    pub request: v1::AttemptRequest,
}

impl Attempt {
    /// Makes the attempt and tells the loop each event; dropping the stream cancels it.
    pub async fn run(self, peers: Peers, inputs: Inputs, aborted: oneshot::Receiver<()>) {
        tokio::select! {
            () = self.stream(&peers, &inputs) => {}
            _ = aborted => {}
        }
    }

    async fn stream(&self, peers: &Peers, inputs: &Inputs) {
        let mut client = match peers.agent(&self.address) {
            Ok(client) => client,
            Err(fault) => return self.lost(inputs, false, fault),
        };
        let mut events = match client.attempt(self.request.clone()).await {
            Ok(answer) => answer.into_inner(),
            Err(status) => {
                return self.lost(inputs, may_have_arrived(&status), self.fault(&status));
            }
        };

        loop {
            match events.message().await {
                Ok(Some(event)) => {
                    let last = is_last(&event);
                    let node = self.node.clone();
                    tell(inputs, Input::Entry(EntryEvent::Attempt { event, node }));
                    if last {
                        return;
                    }
                }
                Ok(None) => {
                    let reason = "stream ended before the answer";
                    let fault = Fault::new(Step::Stream, &self.node, reason);
                    return self.lost(inputs, true, fault);
                }
                Err(status) => return self.lost(inputs, true, self.fault(&status)),
            }
        }
    }

    fn lost(&self, inputs: &Inputs, sent: bool, fault: Fault) {
        let attempt = self.id.clone();
        tell(inputs, Input::Entry(EntryEvent::Lost { attempt, sent, fault }));
    }

    fn fault(&self, status: &Status) -> Fault {
        Fault::new(Step::Connect, &self.node, status.message())
    }
}

/// Returns whether a failed call may have reached the agent.
///
/// Only a connection that was never made, or an agent's own refusal of the token, proves that it
/// did not.
fn may_have_arrived(status: &Status) -> bool {
    match status.code() {
        Code::Unauthenticated | Code::Unimplemented => false,
        Code::Unavailable => !is_connect_error(status),
        _ => true,
    }
}

fn is_connect_error(status: &Status) -> bool {
    let mut cause = std::error::Error::source(status);
    while let Some(error) = cause {
        if error.is::<tonic::ConnectError>() {
            return true;
        }
        cause = error.source();
    }
    false
}

fn is_last(event: &v1::AttemptEvent) -> bool {
    match &event.event {
        Some(Event::Started(_) | Event::Chunk(_)) | None => false,
        Some(Event::Done(_) | Event::Refused(_) | Event::Broken(_) | Event::Answer(_)) => true,
    }
}
