//! Relays event streams to callers.

use std::rc::Rc;

use filbertcleat_base::MonoTime;
use filbertcleat_serve::AttemptOutcome;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::StreamOrigins;
use http::Response;
use tokio::task::spawn_local;

use super::attempt::BackendResponse;
use super::attempt::strip_connection_headers;
use super::body::CallerBody;
use super::caller_stream::StreamSender;
use super::caller_stream::caller_stream;
use super::connection::ActiveRequest;
use super::event_order::EventOrder;
use super::events::Event;
use super::handler::OpenRequest;
use super::in_flight::InFlightAttempt;
use super::origins::record_origin;
use super::request::CallerRequest;
use super::request_log::OrDash;
use super::request_log::Outcome;
use super::request_log::log_end;
use super::state::Entry;
use super::stream_part::StreamPart;
use super::stream_position::StreamPosition;
use super::stream_source::SourceItem;
use super::stream_source::StreamSource;
use crate::Dialect;
use crate::metrics::Metric;

/// After this time without an event another backend server is sought for a resumable stream. It is
/// many times the gap between two events, and shorter than the time that callers wait.
pub(super) const STALL_TIMEOUT_MS: u64 = 1_500;
/// A stream is cut at the latest this long after the deadline of its request, or after its callers
/// have left.
const DEADLINE_GRACE_MS: u64 = 200;
/// The reason for which a stream leaves a backend server that was asked to resume it.
pub(super) const MISPLACED: &str = "the first event is not the one after the last";

/// Returns a response whose body forwards the stream of events as it arrives.
pub(super) fn relay_stream<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: CallerRequest,
    backend_response: Box<BackendResponse>,
    attempt: InFlightAttempt<D>,
    open: OpenRequest<D>,
    active: ActiveRequest,
) -> Response<CallerBody> {
    let (sender, body) = caller_stream(entry.caller_memory.clone(), active.activity());
    let mut response = Response::new(CallerBody::Stream(body));
    *response.status_mut() = backend_response.head.status;
    response.headers_mut().clone_from(&backend_response.head.headers);
    strip_connection_headers(response.headers_mut());

    let is_resumable = request.route.retry_policy.is_resumable();
    let position = StreamPosition::after(request.metadata.last_event_id.filter(|_| is_resumable));
    let source = StreamSource::new(backend_response, attempt, position.last().is_some());
    let relay = StreamRelay {
        entry: Rc::clone(entry),
        position,
        events: request.metadata.last_event_id.is_none().then_some(0),
        request,
        sender,
        is_resumable,
        origin_kept_at: None,
        last_bytes_at: None,
        progress_at: entry.now(),
        part: StreamPart::new(source.server().clone(), source.software_version().clone()),
        has_moved: false,
        awaits_start: position.last().is_some(),
    };
    spawn_local(async move {
        relay.run(source).await;
        drop(open);
        drop(active);
    });
    response
}

/// Relays one stream to its caller.
pub(super) struct StreamRelay<D: Dialect> {
    pub(super) entry: Rc<Entry<D>>,
    pub(super) request: CallerRequest,
    pub(super) sender: StreamSender,
    is_resumable: bool,
    /// When the origin of the stream was last recorded here.
    origin_kept_at: Option<MonoTime>,
    pub(super) position: StreamPosition,
    last_bytes_at: Option<MonoTime>,
    /// When the stream last got on, by an event with data or a new backend server.
    pub(super) progress_at: MonoTime,
    /// The events that were received, if the stream is read from its first event.
    events: Option<u32>,
    /// The events of the current backend server.
    part: StreamPart,
    /// Whether an earlier backend server has sent a part of the stream.
    has_moved: bool,
    /// Whether the next event has to show that its backend server goes on where the stream is.
    awaits_start: bool,
}

/// How the stream of one backend server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamEnd {
    /// The stream was forwarded to its end.
    Complete,
    /// The stream broke off.
    Broken,
    /// The backend server did not go on where the stream was.
    Misplaced,
    /// The backend server has sent no event for the stall timeout, and may go on.
    Stalled,
    /// The backend server has sent no event for as long as callers wait for one.
    GivenUp,
    /// The caller disconnected.
    CallerGone,
    /// The deadline of the request has passed.
    DeadlineExceeded,
}

impl<D: Dialect> StreamRelay<D> {
    async fn run(mut self, mut source: StreamSource<D>) {
        loop {
            let server = source.server().clone();
            let end = self.forward(&mut source).await;
            let next = match end {
                StreamEnd::Complete => {
                    self.log_complete(&source);
                    self.sender.complete();
                    source.complete(&self.entry.pool);
                    self.learn_length();
                    self.log_end(&server, Outcome::Streamed);
                    return;
                }
                StreamEnd::Stalled => self.move_stalled(source).await,
                StreamEnd::Broken => {
                    self.leave(source, AttemptOutcome::Broken);
                    if self.can_resume() {
                        self.resume_for_caller().await
                    } else {
                        if self.is_resumable {
                            self.log_not_resumed("the last event has no id");
                        }
                        None
                    }
                }
                StreamEnd::Misplaced => {
                    source.abandon(AttemptOutcome::Failed);
                    self.request.avoided.push(server.clone());
                    self.resume_for_caller().await
                }
                StreamEnd::CallerGone | StreamEnd::DeadlineExceeded | StreamEnd::GivenUp => {
                    spawn_local(source.read_unclaimed());
                    None
                }
            };
            let Some(next) = next else {
                let outcome = match end {
                    StreamEnd::Complete => Outcome::Streamed,
                    StreamEnd::Broken | StreamEnd::Misplaced => Outcome::Broken,
                    StreamEnd::Stalled | StreamEnd::GivenUp => Outcome::Stalled,
                    StreamEnd::CallerGone => Outcome::CallerGone,
                    StreamEnd::DeadlineExceeded => Outcome::DeadlineExceeded,
                };
                self.log_end(&server, outcome);
                return;
            };
            source = next;
            self.events = None;
        }
    }

    /// Records the length of a complete stream of one backend server.
    fn learn_length(&self) {
        if let Some(events) = self.events {
            let fleet = &mut self.entry.state.borrow_mut().fleet;
            fleet.on_stream_complete(&self.request.demand, events);
        }
    }

    fn log_end(&self, server: &ServerId, outcome: Outcome) {
        let is_whole =
            outcome == Outcome::Streamed && self.request.metadata.last_event_id.is_none();
        if !is_whole || self.has_moved || self.part.is_irregular() {
            self.log_part();
        }
        let now = self.entry.now();
        log_end(&self.entry.metrics, &self.request, Some(server), now, outcome);
    }

    /// Logs and counts a complete stream at the backend server that sent its end.
    fn log_complete(&self, source: &StreamSource<D>) {
        let framing = source.framing().as_str();
        log::info!(
            "event=stream-complete id={} server={} software={} framing={framing} first={} last={}",
            self.request.id,
            source.server(),
            source.software_version(),
            OrDash(self.part.first()),
            OrDash(self.position.last()),
        );
        self.entry.metrics.count(Metric::StreamEnds, &[("framing", framing)]);
    }

    /// Begins the part of the backend server that goes on with the stream.
    pub(super) fn begin_part(&mut self, source: &StreamSource<D>) {
        self.log_part();
        self.has_moved = true;
        self.awaits_start = true;
        self.part = StreamPart::new(source.server().clone(), source.software_version().clone());
    }

    /// Logs that ids of events are missing before the event with the id `next`.
    fn log_skip(&self, next: Option<u64>) {
        log::info!(
            "event=stream-skip id={} server={} after={} next={}",
            self.request.id,
            self.part.server(),
            OrDash(self.position.last()),
            OrDash(next)
        );
    }

    fn log_part(&self) {
        log::info!("event=stream-part id={} {}", self.request.id, self.part);
    }

    /// Logs an event of the stream at a backend server.
    pub(super) fn log_event(&self, event: &str, server: &ServerId, reason: &str) {
        log::info!(
            "event={event} id={} server={server} after={} sends={} reason=\"{reason}\"",
            self.request.id,
            self.position.last().unwrap_or(0),
            self.request.attempts
        );
    }

    /// Logs why the stream was not resumed at another backend server.
    pub(super) fn log_not_resumed(&self, reason: &str) {
        log::info!(
            "event=stream-not-resumed id={} after={} sends={} reason=\"{reason}\"",
            self.request.id,
            self.position.last().unwrap_or(0),
            self.request.attempts
        );
    }

    /// Forwards the events of one backend server, without those that the caller has already seen.
    async fn forward(&mut self, source: &mut StreamSource<D>) -> StreamEnd {
        let deadline = self.request.deadline.plus_ms(DEADLINE_GRACE_MS);
        let begun_at = self.entry.now();
        loop {
            let (limit, end) = self.next_event_limit(begun_at, deadline);
            let renewal_at = self.origin_kept_at.map(|at| at.plus_ms(StreamOrigins::RENEWAL_MS));
            let wake_at = renewal_at.map_or(limit, |at| at.min(limit));
            let wake_at = self.entry.clock().instant(wake_at);
            // What has arrived comes first: after a pause of this process the time may have passed
            // without the server being silent.
            let item = tokio::select! {
                biased;
                () = self.sender.closed() => return StreamEnd::CallerGone,
                item = source.next() => item,
                () = tokio::time::sleep_until(wake_at) => {
                    if limit <= self.entry.now() {
                        return end;
                    }
                    self.keep_software_version(source);
                    continue;
                }
            };
            let is_progress = item.is_progress();
            let events = match item {
                SourceItem::Events(events) => events,
                SourceItem::End => return StreamEnd::Complete,
                SourceItem::Broken(reason) => {
                    self.log_event("stream-broken", source.server(), &reason);
                    return StreamEnd::Broken;
                }
            };
            self.record_gap();
            let count = u32::try_from(events.len()).unwrap_or(u32::MAX);
            self.events = self.events.map(|known| known.saturating_add(count));
            for event in events {
                self.keep_software_version(source);
                if let Some(end) = self.pass_on(event, deadline).await {
                    return end;
                }
            }
            if is_progress {
                self.progress_at = self.entry.now();
            }
        }
    }

    /// Restricts the rest of a resumable stream to the software version that sends its first event,
    /// because the parts that two versions write do not fit together. Records the version, and again
    /// while the stream runs, before it is forgotten.
    fn keep_software_version(&mut self, source: &StreamSource<D>) {
        let now = self.entry.now();
        let is_recent = |at: MonoTime| now.ms_since(at) < StreamOrigins::RENEWAL_MS;
        if !self.is_resumable || self.origin_kept_at.is_some_and(is_recent) {
            return;
        }
        self.origin_kept_at = Some(now);
        self.request.has_origin = true;
        let version = &mut self.request.demand.software_version;
        let version = version.get_or_insert_with(|| source.software_version().clone()).clone();
        record_origin(&self.entry, &self.request, &version);
    }

    /// Sends an event to the caller, unless the stream is resumable and the caller has already seen
    /// it. Returns how the stream ended if the caller has disconnected or does not read until the
    /// deadline, or if the event shows that the server did not go on where the stream was.
    async fn pass_on(&mut self, event: Event, deadline: MonoTime) -> Option<StreamEnd> {
        let order = self.position.order_of(&event);
        if self.awaits_start && !self.position.is_continued_by(&event) {
            self.log_event("stream-broken", self.part.server(), MISPLACED);
            return Some(StreamEnd::Misplaced);
        }
        self.awaits_start &= order == EventOrder::Comment;
        self.part.record(event.id, order);
        match order {
            EventOrder::Next | EventOrder::Comment => {}
            EventOrder::Skipping | EventOrder::Repeated | EventOrder::Unnumbered => {
                let tags = [("order", order.label())];
                self.entry.metrics.count(Metric::IrregularEvents, &tags);
            }
        }
        if order == EventOrder::Skipping {
            self.log_skip(event.id);
        }
        if order != EventOrder::Repeated {
            self.position.advance(&event);
        } else if self.is_resumable {
            return None;
        }
        let deadline = self.entry.clock().instant(deadline);
        match tokio::time::timeout_at(deadline, self.sender.send(event.bytes)).await {
            Ok(Ok(())) => None,
            Ok(Err(_disconnected)) => Some(StreamEnd::CallerGone),
            Err(_elapsed) => Some(StreamEnd::DeadlineExceeded),
        }
    }

    /// Records the time to the first bytes and the longest gap after them.
    fn record_gap(&mut self) {
        let now = self.entry.now();
        match self.last_bytes_at.replace(now) {
            None => self.request.first_byte_ms = Some(now.ms_since(self.request.arrived_at)),
            Some(previous) => {
                self.request.longest_gap_ms =
                    self.request.longest_gap_ms.max(now.ms_since(previous));
            }
        }
    }

    /// Returns the time by which the next event with data has to arrive from a backend server that
    /// the stream came to at `begun_at`, and how the stream ends there if it does not.
    fn next_event_limit(&self, begun_at: MonoTime, deadline: MonoTime) -> (MonoTime, StreamEnd) {
        let mut limit = (deadline, StreamEnd::DeadlineExceeded);
        if let Some(given_up_at) = self.given_up_at()
            && given_up_at < limit.0
        {
            limit = (given_up_at, StreamEnd::GivenUp);
        }
        let stalled_at = self.progress_at.max(begun_at).plus_ms(STALL_TIMEOUT_MS);
        if self.can_resume() && self.has_attempts_left() && stalled_at < limit.0 {
            limit = (stalled_at, StreamEnd::Stalled);
        }
        limit
    }

    /// Returns when the caller has left for certain if no event with data arrives before. `None` if
    /// it is not known how long callers wait.
    pub(super) fn given_up_at(&self) -> Option<MonoTime> {
        let wait_ms = self.request.route.stream_wait_ms()?;
        Some(self.progress_at.plus_ms(wait_ms).plus_ms(DEADLINE_GRACE_MS))
    }

    /// Returns whether another backend server can be told where to go on.
    fn can_resume(&self) -> bool {
        self.is_resumable && self.position.is_named()
    }

    /// Returns whether the route allows another attempt.
    pub(super) fn has_attempts_left(&self) -> bool {
        self.request.attempts < self.request.route.attempts_max
    }
}
