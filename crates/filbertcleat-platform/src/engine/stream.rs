//! The stream of a completion.

use std::collections::VecDeque;

use filbertcleat_base::Fault;
use filbertcleat_base::Step;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::EngineEvent;
use crate::CallError;
use crate::SseParser;

/// The stream of a completion; dropping it closes the connection.
#[derive(Debug)]
pub struct EngineStream {
    body: Incoming,
    parser: SseParser,
    ready: VecDeque<String>,
    peer: String,
}

impl EngineStream {
    pub(super) fn new(body: Incoming, peer: String) -> Self {
        Self { body, parser: SseParser::default(), ready: VecDeque::new(), peer }
    }

    /// Returns the next event; the connection's end without the terminator is an error.
    pub async fn next(&mut self) -> Result<EngineEvent, CallError> {
        loop {
            if let Some(data) = self.ready.pop_front() {
                let event = EngineEvent::parse(&data);
                return event.ok_or_else(|| self.broken("event can't be read"));
            }
            let Some(frame) = self.body.frame().await else {
                return Err(self.broken("stream ended without its terminator"));
            };
            let frame = frame.map_err(|error| self.broken(error))?;
            if let Some(bytes) = frame.data_ref() {
                let events = self.parser.push(bytes);
                self.ready.extend(events.ok_or_else(|| self.broken("event is too large"))?);
            }
        }
    }

    fn broken(&self, reason: impl std::fmt::Display) -> CallError {
        CallError { sent: true, fault: Fault::new(Step::Stream, &self.peer, reason) }
    }
}
