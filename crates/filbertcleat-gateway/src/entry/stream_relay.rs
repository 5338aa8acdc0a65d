//! Relays event streams to callers and resumes broken ones with a new attempt.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filbertcleat_base::MonoTime;
use filbertcleat_serve::AttemptOutcome;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::ServerId;
use http::Response;
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::attempt::BackendResponse;
use super::attempt::send_attempt;
use super::attempt::strip_connection_headers;
use super::body::CallerBody;
use super::body::StreamCut;
use super::connection::ActiveRequest;
use super::events::EventSplitter;
use super::handler::OpenRequest;
use super::in_flight::InFlightAttempt;
use super::placement::place_request;
use super::request::CallerRequest;
use super::request_log::Outcome;
use super::request_log::log_end;
use super::state::Entry;
use crate::Dialect;

/// Chunks that are buffered for a slow caller before backpressure reaches the backend server.
const CHUNKS_MAX: usize = 32;
/// A resumable stream moves to another backend server after this time without an event. It is many
/// times the gap between two events, and shorter than the time that callers wait.
const STALL_TIMEOUT_MS: u64 = 1_500;
/// A stream is cut at the latest this long after the deadline of its request.
const DEADLINE_GRACE_MS: u64 = 200;

/// Returns a response whose body forwards the stream of events as it arrives.
pub(super) fn relay_stream<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: CallerRequest,
    backend_response: Box<BackendResponse>,
    attempt: InFlightAttempt<D>,
    open: OpenRequest<D>,
    active: ActiveRequest,
) -> Response<CallerBody> {
    let (sender, receiver) = mpsc::channel(CHUNKS_MAX);
    let mut response = Response::new(CallerBody::Chunks(receiver));
    *response.status_mut() = backend_response.head.status;
    response.headers_mut().clone_from(&backend_response.head.headers);
    strip_connection_headers(response.headers_mut());

    let is_resumable = request.route.retry_policy == RetryPolicy::Stream { resumable: true };
    let relay = StreamRelay {
        entry: Rc::clone(entry),
        last_event_id: request.metadata.last_event_id,
        request,
        sender,
        is_resumable,
        last_bytes_at: None,
    };
    spawn_local(async move {
        relay.run(backend_response, attempt).await;
        drop(open);
        drop(active);
    });
    response
}

struct StreamRelay<D: Dialect> {
    entry: Rc<Entry<D>>,
    request: CallerRequest,
    sender: mpsc::Sender<Result<Bytes, StreamCut>>,
    is_resumable: bool,
    last_event_id: Option<u64>,
    last_bytes_at: Option<MonoTime>,
}

/// How the stream of one backend server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamEnd {
    /// The stream was forwarded to its end.
    Complete,
    /// The stream broke off.
    Broken,
    /// The backend server sent nothing for the stall timeout.
    Stalled,
    /// The caller disconnected.
    CallerGone,
    /// The deadline of the request has passed.
    DeadlineExceeded,
}

impl<D: Dialect> StreamRelay<D> {
    async fn run(mut self, mut response: Box<BackendResponse>, mut attempt: InFlightAttempt<D>) {
        loop {
            let server = attempt.server().clone();
            let end = self.forward(&mut response, &mut attempt).await;
            let outcome = match end {
                StreamEnd::Complete => AttemptOutcome::Answered,
                StreamEnd::Broken => AttemptOutcome::Broken,
                StreamEnd::Stalled => AttemptOutcome::Silent,
                StreamEnd::CallerGone | StreamEnd::DeadlineExceeded => AttemptOutcome::Left,
            };
            attempt.end(outcome);
            let is_final = match end {
                StreamEnd::Complete => {
                    let BackendResponse { head, address, connection, .. } = *response;
                    self.entry.pool.keep(address, connection, &head.headers);
                    self.log_end(&server, Outcome::Streamed);
                    return;
                }
                StreamEnd::CallerGone | StreamEnd::DeadlineExceeded => true,
                StreamEnd::Broken | StreamEnd::Stalled => !self.is_resumable,
            };
            drop(response);
            let next = if is_final { None } else { self.resume().await };
            let Some((next_response, next_attempt)) = next else {
                let outcome = match end {
                    StreamEnd::Complete => Outcome::Streamed,
                    StreamEnd::Broken => Outcome::Broken,
                    StreamEnd::Stalled => Outcome::Stalled,
                    StreamEnd::CallerGone => Outcome::CallerGone,
                    StreamEnd::DeadlineExceeded => Outcome::DeadlineExceeded,
                };
                self.log_end(&server, outcome);
                // This fails only if the caller has disconnected, and then nobody reads the stream.
                let _ = self.sender.send(Err(StreamCut)).await;
                return;
            };
            (response, attempt) = (next_response, next_attempt);
        }
    }

    fn log_end(&self, server: &ServerId, outcome: Outcome) {
        let now = self.entry.now();
        log_end(&self.entry.metrics, &self.request, Some(server), now, outcome);
    }

    /// Forwards the events of one backend server, without those that the caller has already seen.
    async fn forward(
        &mut self,
        response: &mut BackendResponse,
        attempt: &mut InFlightAttempt<D>,
    ) -> StreamEnd {
        let mut splitter = EventSplitter::default();
        let deadline = self.request.deadline.plus_ms(DEADLINE_GRACE_MS);
        let has_framing = response.head.headers.contains_key(http::header::TRANSFER_ENCODING)
            || response.head.headers.contains_key(http::header::CONTENT_LENGTH);
        loop {
            let limit = self.next_event_limit(deadline);
            let frame = tokio::select! {
                () = self.sender.closed() => return StreamEnd::CallerGone,
                () = tokio::time::sleep_until(limit) => {
                    let is_late = self.entry.now() >= deadline;
                    return if is_late { StreamEnd::DeadlineExceeded } else { StreamEnd::Stalled };
                }
                frame = response.body.frame() => frame,
            };
            let bytes = match frame {
                None if has_framing || splitter.is_between_events() => return StreamEnd::Complete,
                None | Some(Err(_)) => return StreamEnd::Broken,
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => bytes,
                    Err(_trailers) => continue,
                },
            };
            attempt.on_response_bytes();
            self.record_gap();
            for event in splitter.push(&bytes) {
                if let Some(id) = event.id {
                    if self.last_event_id.is_some_and(|last| id <= last) {
                        continue;
                    }
                    self.last_event_id = Some(id);
                }
                if self.sender.send(Ok(event.bytes)).await.is_err() {
                    return StreamEnd::CallerGone;
                }
            }
            if splitter.is_event_too_large() {
                log::warn!("event=event-too-large id={}", self.request.id);
                return StreamEnd::Broken;
            }
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

    /// Returns the instant by which the next bytes have to arrive.
    fn next_event_limit(&self, deadline: MonoTime) -> Instant {
        let deadline = self.entry.clock().instant(deadline);
        if self.is_resumable {
            deadline.min(Instant::now() + Duration::from_millis(STALL_TIMEOUT_MS))
        } else {
            deadline
        }
    }

    /// Resumes the stream with a new attempt, after the last event that was forwarded.
    ///
    /// Returns `None` if the attempts or the retry budget are used up, if no backend server is
    /// available, or if the attempt fails.
    async fn resume(&mut self) -> Option<(Box<BackendResponse>, InFlightAttempt<D>)> {
        let is_allowed = self.request.attempts < self.request.route.attempts_max
            && self.entry.take_retry(&self.request.service);
        if !is_allowed {
            return None;
        }
        let attempt = place_request(&self.entry, &mut self.request).await.ok()?;
        self.request.attempts += 1;
        let server = attempt.server().clone();
        match send_attempt(&self.entry, &self.request, &attempt, self.last_event_id).await {
            Ok(response) if response.head.status.is_success() => {
                log::info!(
                    "event=stream-resumed id={} server={server} after={}",
                    self.request.id,
                    self.last_event_id.unwrap_or(0)
                );
                Some((Box::new(response), attempt))
            }
            Ok(_failed) => {
                attempt.end(AttemptOutcome::Failed);
                None
            }
            Err(failure) => {
                attempt.end(failure.outcome);
                None
            }
        }
    }
}
