//! The part of a stream that one backend server sends.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use filbertcleat_serve::AttemptOutcome;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::SoftwareVersion;
use futures_util::future::LocalBoxFuture;
use http_body_util::BodyExt;
use tokio::time::Instant;

use super::attempt::BackendResponse;
use super::body_framing::BodyFraming;
use super::connection_pool::ConnectionPool;
use super::events::Event;
use super::events::EventSplitter;
use super::exchange::READ_ON;
use super::in_flight::InFlightAttempt;
use super::liveness::Liveness;
use super::liveness::check_liveness;
use crate::Dialect;

/// How long a backend server is given to show that it has outlived a stream. A sound one may pause
/// for a second or two.
const END_CHECK_TIMEOUT: Duration = Duration::from_secs(3);

/// The part of a stream that one backend server sends.
pub(super) struct StreamSource<D: Dialect> {
    response: Box<BackendResponse>,
    attempt: InFlightAttempt<D>,
    splitter: EventSplitter,
    /// The check that decides on the end of an unframed stream, once its connection has ended.
    end_check: Option<LocalBoxFuture<'static, Liveness>>,
    /// Whether the stream goes on after an event that its caller has.
    is_rest: bool,
    /// Whether an event has been received.
    has_events: bool,
    /// Items that have been received and not been taken yet, oldest first.
    received: VecDeque<SourceItem>,
    /// The highest id of an event without data that `ready` has received.
    waiting_id: Option<u64>,
}

/// What a backend server sent next.
pub(super) enum SourceItem {
    /// Bytes arrived, which completed these events, if any.
    Events(Vec<Event>),
    /// The stream ended properly.
    End,
    /// The stream broke off, for the given reason.
    Broken(String),
}

impl SourceItem {
    /// Returns whether the stream has got on: an event with data, or an end. Comments and parts of
    /// an event also come from a server that has stalled.
    pub fn is_progress(&self) -> bool {
        match self {
            Self::Events(events) => events.iter().any(|event| event.has_data),
            Self::End | Self::Broken(_) => true,
        }
    }
}

impl<D: Dialect> StreamSource<D> {
    /// The items without data that wait at most: a server that sends so many new ids goes on.
    const WAITING_MAX: usize = 32;

    /// Creates the source of a response whose head has been received.
    ///
    /// `is_rest` tells whether the request named the last event that its caller has, after which
    /// none may be left.
    pub fn new(response: Box<BackendResponse>, attempt: InFlightAttempt<D>, is_rest: bool) -> Self {
        Self {
            response,
            attempt,
            is_rest,
            splitter: EventSplitter::default(),
            end_check: None,
            has_events: false,
            received: VecDeque::new(),
            waiting_id: None,
        }
    }

    /// Returns the backend server.
    pub fn server(&self) -> &ServerId {
        self.attempt.server()
    }

    /// Returns the software version of the backend server.
    pub fn software_version(&self) -> &SoftwareVersion {
        &self.response.software_version
    }

    /// Returns how the end of the stream is marked.
    pub fn framing(&self) -> BodyFraming {
        self.response.framing
    }

    /// Waits for the next item and takes it.
    pub async fn next(&mut self) -> SourceItem {
        match self.received.pop_front() {
            Some(item) => item,
            None => self.receive().await,
        }
    }

    /// Waits for the next item with which the stream gets on, and leaves it for `next`. Comments
    /// and repeated ids before it are left out, since any number of them may come.
    pub async fn ready(&mut self) {
        while !self.is_ready() {
            let mut item = self.receive().await;
            if !item.is_progress()
                && let SourceItem::Events(events) = &mut item
            {
                events.retain(|event| event.id > self.waiting_id);
                events.dedup_by_key(|event| event.id);
                if events.is_empty() {
                    continue;
                }
                self.waiting_id = events.iter().map(|event| event.id).max().flatten();
            }
            self.received.push_back(item);
        }
    }

    /// Returns whether the items that have been received show that the stream has got on.
    fn is_ready(&self) -> bool {
        self.received.len() >= Self::WAITING_MAX
            || self.received.back().is_some_and(SourceItem::is_progress)
    }

    /// Returns whether the received item shows that the stream broke off.
    pub fn is_broken(&self) -> bool {
        matches!(self.received.back(), Some(SourceItem::Broken(_)))
    }

    /// Returns the first event with data or an id that has been received and not been taken yet.
    pub fn received_event(&self) -> Option<&Event> {
        let events = self.received.iter().filter_map(|item| match item {
            SourceItem::Events(events) => Some(events),
            SourceItem::End | SourceItem::Broken(_) => None,
        });
        events.flatten().find(|event| event.has_data || event.id.is_some())
    }

    /// Ends the attempt after a complete stream and keeps the connection for reuse.
    pub fn complete(self, pool: &ConnectionPool) {
        self.attempt.end_complete();
        let BackendResponse { head, sent, connection, .. } = *self.response;
        pool.keep(sent.address, connection, &head.headers);
    }

    /// Ends the attempt before the end of the stream, which resets the connection.
    pub fn abandon(self, outcome: AttemptOutcome) {
        self.attempt.end(outcome);
    }

    /// Reads on for a while after the caller has left, unless the answer has shown the request to be
    /// sound: the server may end under it.
    pub async fn read_unclaimed(mut self) {
        let counted = Rc::clone(self.attempt.counted());
        let ending = tokio::time::timeout(READ_ON, async {
            while !counted.is_sound() {
                match self.next().await {
                    SourceItem::Events(_) => {}
                    SourceItem::End => return AttemptOutcome::Answered,
                    SourceItem::Broken(_) => return AttemptOutcome::Broken,
                }
            }
            AttemptOutcome::Left
        });
        let outcome = ending.await.unwrap_or_else(|_elapsed| {
            counted.on_abandoned();
            AttemptOutcome::Left
        });
        self.abandon(outcome);
    }

    /// Asks whether the backend server has outlived the connection.
    fn check_end(&self) -> LocalBoxFuture<'static, Liveness> {
        let entry = Rc::clone(&self.attempt.counted().entry);
        let until = Instant::now() + END_CHECK_TIMEOUT;
        Box::pin(check_liveness(entry, self.response.sent.clone(), until))
    }

    /// Receives the next item. Nothing is lost if the returned future is dropped.
    async fn receive(&mut self) -> SourceItem {
        loop {
            if let Some(check) = &mut self.end_check {
                return match check.await.broken_reason() {
                    None => SourceItem::End,
                    Some(reason) => SourceItem::Broken(reason.to_owned()),
                };
            }
            let frame = match self.response.body.frame().await {
                None if !self.splitter.is_between_events() => {
                    return SourceItem::Broken("the body ends within an event".to_owned());
                }
                None => match self.framing() {
                    BodyFraming::Length | BodyFraming::Chunks => return SourceItem::End,
                    BodyFraming::Connection if !self.has_events && !self.is_rest => {
                        return SourceItem::Broken(
                            "the connection ends before an event".to_owned(),
                        );
                    }
                    // The end of the connection may be that of the server.
                    BodyFraming::Connection => {
                        self.end_check = Some(self.check_end());
                        continue;
                    }
                },
                Some(Err(error)) => return SourceItem::Broken(error.to_string()),
                Some(Ok(frame)) => frame,
            };
            let Ok(bytes) = frame.into_data() else {
                // Trailers carry no events.
                continue;
            };
            self.attempt.on_response_bytes();
            let events = self.splitter.push(&bytes);
            self.has_events |= !events.is_empty();
            if events.is_empty() && self.splitter.is_event_too_large() {
                return SourceItem::Broken("an event is too large".to_owned());
            }
            return SourceItem::Events(events);
        }
    }
}
