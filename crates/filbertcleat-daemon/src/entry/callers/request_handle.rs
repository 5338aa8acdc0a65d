//! The connection's side of a request that the event loop handles.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use filbertcleat_base::RequestId;
use futures_util::Stream;
use tokio::sync::mpsc;

use super::CallerContext;
use crate::entry::EntryEvent;
use crate::entry::pending_request::CallerEvent;
use crate::entry::pending_request::PendingRequest;
use crate::entry::pending_request::RequestPayload;
use crate::entry::request_headers::RequestHeaders;
use crate::loop_event::LoopEvent;
use crate::loop_event::LoopSender;
use crate::loop_event::send_to_loop;

/// A request's stream of events from the event loop.
///
/// Dropping it before the last event cancels the request.
#[derive(Debug)]
pub(in crate::entry) struct RequestHandle {
    pub request: RequestId,
    events: mpsc::UnboundedReceiver<CallerEvent>,
    loop_sender: LoopSender,
    ended: bool,
}

impl RequestHandle {
    /// Submits a request to the event loop.
    pub fn submit(
        context: &CallerContext,
        payload: RequestPayload,
        headers: RequestHeaders,
    ) -> Self {
        let request = context.next_request_id();
        let (reply, events) = mpsc::unbounded_channel();
        let pending = PendingRequest {
            request: request.clone(),
            payload,
            class: headers.class,
            non_idempotent: headers.non_idempotent,
            idempotency_key: headers.idempotency_key,
            deadline_ms: headers.deadline_ms,
            reply,
            resolved: None,
            claim_revision: None,
            stored_answer: None,
        };
        send_to_loop(
            &context.loop_sender,
            LoopEvent::Entry(EntryEvent::RequestArrived(Box::new(pending))),
        );
        Self { request, events, loop_sender: context.loop_sender.clone(), ended: false }
    }

    /// Returns the next event, or `None` if the process is stopping.
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

impl Stream for RequestHandle {
    type Item = CallerEvent;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<CallerEvent>> {
        let polled = self.events.poll_recv(context);
        if let Poll::Ready(event) = &polled {
            self.observe(event.as_ref());
        }
        polled
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        if !self.ended {
            let request = self.request.clone();
            send_to_loop(
                &self.loop_sender,
                LoopEvent::Entry(EntryEvent::CallerDisconnected { request }),
            );
        }
    }
}
