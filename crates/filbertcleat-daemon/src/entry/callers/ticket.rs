//! A caller's connection to its request in the loop.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use filbertcleat_base::RequestId;
use futures_util::Stream;
use tokio::sync::mpsc;

use super::CallerGate;
use crate::entry::EntryEvent;
use crate::entry::caller::Caller;
use crate::entry::caller::CallerEvent;
use crate::entry::caller::Work;
use crate::entry::request::Marks;
use crate::input::Input;
use crate::input::Inputs;
use crate::input::tell;

/// A caller's connection to its request; dropping it tells the loop that the caller is gone.
#[derive(Debug)]
pub(in crate::entry) struct Ticket {
    pub request: RequestId,
    events: mpsc::UnboundedReceiver<CallerEvent>,
    inputs: Inputs,
    ended: bool,
}

impl Ticket {
    /// Hands a request to the loop.
    pub fn submit(gate: &CallerGate, work: Work, marks: Marks) -> Self {
        let request = gate.next_request();
        let (reply, events) = mpsc::unbounded_channel();
        let caller = Caller {
            request: request.clone(),
            work,
            class: marks.class,
            non_idempotent: marks.non_idempotent,
            key: marks.key,
            deadline_ms: marks.deadline_ms,
            reply,
            resolved: None,
            claim_revision: None,
            kept: None,
        };
        tell(&gate.inputs, Input::Entry(EntryEvent::Arrive(Box::new(caller))));
        Self { request, events, inputs: gate.inputs.clone(), ended: false }
    }

    /// Returns the next event, or `None` when the process is stopping.
    pub async fn next(&mut self) -> Option<CallerEvent> {
        let event = self.events.recv().await;
        self.observe(event.as_ref());
        event
    }

    fn observe(&mut self, event: Option<&CallerEvent>) {
        match event {
            Some(CallerEvent::Accepted { .. } | CallerEvent::Text(_)) => {}
            Some(
                CallerEvent::Finished { .. }
                | CallerEvent::Answer { .. }
                | CallerEvent::Refused(_)
                | CallerEvent::NotFound(_),
            )
            | None => self.ended = true,
        }
    }
}

impl Stream for Ticket {
    type Item = CallerEvent;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<CallerEvent>> {
        let polled = self.events.poll_recv(context);
        if let Poll::Ready(event) = &polled {
            self.observe(event.as_ref());
        }
        polled
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.ended {
            let request = self.request.clone();
            tell(&self.inputs, Input::Entry(EntryEvent::CallerGone { request }));
        }
    }
}
