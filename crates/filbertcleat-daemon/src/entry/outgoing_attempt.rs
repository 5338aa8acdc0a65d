//! Attempts sent to agents.

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
use crate::loop_event::LoopEvent;
use crate::loop_event::LoopSender;
use crate::loop_event::send_to_loop;
use crate::peers::Peers;

/// An attempt to send to an agent.
#[derive(Debug)]
pub(super) struct OutgoingAttempt {
    pub id: AttemptId,
    pub node: NodeName,
    pub address: String,
    pub request: v1::AttemptRequest,
}

impl OutgoingAttempt {
    /// Sends the attempt and forwards its events to the event loop.
    ///
    /// On a message of `aborted` the stream is dropped, which cancels the attempt at the agent.
    pub async fn run(self, peers: Peers, loop_sender: LoopSender, aborted: oneshot::Receiver<()>) {
        tokio::select! {
            () = self.forward_events(&peers, &loop_sender) => {}
            _ = aborted => {}
        }
    }

    async fn forward_events(&self, peers: &Peers, loop_sender: &LoopSender) {
        let mut client = match peers.agent(&self.address) {
            Ok(client) => client,
            Err(fault) => return self.report_loss(loop_sender, false, fault),
        };
        let mut events = match client.attempt(self.request.clone()).await {
            Ok(response) => response.into_inner(),
            Err(status) => {
                return self.report_loss(
                    loop_sender,
                    may_have_arrived(&status),
                    self.fault(&status),
                );
            }
        };

        loop {
            match events.message().await {
                Ok(Some(event)) => {
                    let is_last = is_last(&event);
                    let node = self.node.clone();
                    send_to_loop(
                        loop_sender,
                        LoopEvent::Entry(EntryEvent::AttemptEvent { event, node }),
                    );
                    if is_last {
                        return;
                    }
                }
                Ok(None) => {
                    let reason = "stream ended before the end of the answer";
                    let fault = Fault::new(Step::Stream, &self.node, reason);
                    return self.report_loss(loop_sender, true, fault);
                }
                Err(status) => return self.report_loss(loop_sender, true, self.fault(&status)),
            }
        }
    }

    fn report_loss(&self, loop_sender: &LoopSender, maybe_sent: bool, fault: Fault) {
        let attempt = self.id.clone();
        send_to_loop(
            loop_sender,
            LoopEvent::Entry(EntryEvent::AttemptLost { attempt, maybe_sent, fault }),
        );
    }

    fn fault(&self, status: &Status) -> Fault {
        Fault::new(Step::Connect, &self.node, status.message())
    }
}

/// Returns whether a failed call may have reached the agent.
///
/// Only a failure to connect, or an agent's rejection of the token or the method, proves that it
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
