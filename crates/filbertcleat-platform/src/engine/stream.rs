//! Streams of completion events.

use std::collections::VecDeque;

use filbertcleat_base::Fault;
use filbertcleat_base::Step;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::EngineEvent;
use crate::CallError;
use crate::SseParser;

/// The event stream of a completion; dropping it closes the connection.
#[derive(Debug)]
pub struct EngineStream {
    body: Incoming,
    parser: SseParser,
    pending_events: VecDeque<String>,
    peer: String,
}

impl EngineStream {
    pub(super) fn new(body: Incoming, peer: String) -> Self {
        Self { body, parser: SseParser::default(), pending_events: VecDeque::new(), peer }
    }

    /// Returns the next event; the end of the connection before [`EngineEvent::Done`] is an error.
    pub async fn next(&mut self) -> Result<EngineEvent, CallError> {
        loop {
            if let Some(data) = self.pending_events.pop_front() {
                let event = EngineEvent::parse(&data);
                return event.ok_or_else(|| self.error("malformed event"));
            }
            let Some(frame) = self.body.frame().await else {
                return Err(self.error("stream ended without its terminator"));
            };
            let frame = frame.map_err(|error| self.error(error))?;
            if let Some(bytes) = frame.data_ref() {
                let events = self.parser.push(bytes);
                self.pending_events
                    .extend(events.ok_or_else(|| self.error("event exceeds the size limit"))?);
            }
        }
    }

    fn error(&self, reason: impl std::fmt::Display) -> CallError {
        CallError { sent: true, fault: Fault::new(Step::Stream, &self.peer, reason) }
    }
}
