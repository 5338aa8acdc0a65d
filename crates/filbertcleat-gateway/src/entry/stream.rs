//! Relaying a stream of events.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filbertcleat_base::MonoTime;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::SendOutcome;
use filbertcleat_serve::ServerId;
use http::Response;
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::body::CallerBody;
use super::body::Cut;
use super::caller::CallerRequest;
use super::connection::Busy;
use super::events::EventCutter;
use super::handle::Counted;
use super::line::Outcome;
use super::line::note_end;
use super::open::OpenSend;
use super::place::place;
use super::send::Answer;
use super::send::send;
use super::send::strip_connection_headers;
use super::state::Entry;
use crate::Dialect;

/// Pieces that may wait for a slow caller before its backend server is held up.
const PIECES_MAX: usize = 32;
/// A stream that may go on elsewhere is moved after so long without an event: many times the pause
/// between two events, and less than callers wait.
const SILENCE_MS: u64 = 1_500;
/// A stream is ended so long after its route's timeout at the latest.
const TIMEOUT_LAG_MS: u64 = 200;

/// Passes a stream on to its caller as it arrives.
pub(super) fn relay<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: CallerRequest,
    answer: Box<Answer>,
    open: OpenSend<D>,
    counted: Counted<D>,
    busy: Busy,
) -> Response<CallerBody> {
    let (sender, receiver) = mpsc::channel(PIECES_MAX);
    let mut response = Response::new(CallerBody::Pieces(receiver));
    *response.status_mut() = answer.head.status;
    response.headers_mut().clone_from(&answer.head.headers);
    strip_connection_headers(response.headers_mut());

    let is_resumable = request.route.retry_policy == RetryPolicy::Stream { resumable: true };
    let relay = Relay {
        entry: Rc::clone(entry),
        last_event: request.facts.last_event_id,
        request,
        sender,
        is_resumable,
        heard_at: None,
    };
    spawn_local(async move {
        relay.run(answer, open).await;
        drop(counted);
        drop(busy);
    });
    response
}

struct Relay<D: Dialect> {
    entry: Rc<Entry<D>>,
    request: CallerRequest,
    sender: mpsc::Sender<Result<Bytes, Cut>>,
    is_resumable: bool,
    last_event: Option<u64>,
    heard_at: Option<MonoTime>,
}

/// How the answer of one backend server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    /// It came to its end.
    Whole,
    /// It broke off.
    Broken,
    /// It fell silent.
    Silent,
    /// The caller left.
    Left,
    /// The time is over.
    Late,
}

impl<D: Dialect> Relay<D> {
    async fn run(mut self, mut answer: Box<Answer>, mut open: OpenSend<D>) {
        loop {
            let server = open.server().clone();
            let end = self.pass_on(&mut answer, &mut open).await;
            let ending = match end {
                End::Whole => SendOutcome::Answered,
                End::Broken => SendOutcome::Broken,
                End::Silent => SendOutcome::Silent,
                End::Left | End::Late => SendOutcome::Left,
            };
            open.end(ending);
            let is_over = match end {
                End::Whole => {
                    let Answer { head, address, sender, .. } = *answer;
                    self.entry.pool.keep(address, sender, &head.headers);
                    self.note_end(&server, Outcome::Streamed);
                    return;
                }
                End::Left | End::Late => true,
                End::Broken | End::Silent => !self.is_resumable,
            };
            drop(answer);
            let next = if is_over { None } else { self.resume().await };
            let Some((next_answer, next_open)) = next else {
                let outcome = match end {
                    End::Whole => Outcome::Streamed,
                    End::Broken => Outcome::Broken,
                    End::Silent => Outcome::Silent,
                    End::Left => Outcome::Left,
                    End::Late => Outcome::Late,
                };
                self.note_end(&server, outcome);
                // A caller that has left needs no sign that its stream is cut.
                let _ = self.sender.send(Err(Cut)).await;
                return;
            };
            (answer, open) = (next_answer, next_open);
        }
    }

    fn note_end(&self, server: &ServerId, outcome: Outcome) {
        let now = self.entry.now();
        note_end(&self.entry.metrics, &self.request, Some(server), now, outcome);
    }

    /// Passes on what one backend server sends.
    async fn pass_on(&mut self, answer: &mut Answer, open: &mut OpenSend<D>) -> End {
        let mut cutter = EventCutter::default();
        let deadline = self.request.deadline.plus_ms(TIMEOUT_LAG_MS);
        let is_framed = answer.head.headers.contains_key(http::header::TRANSFER_ENCODING)
            || answer.head.headers.contains_key(http::header::CONTENT_LENGTH);
        loop {
            let limit = self.limit(deadline);
            let frame = tokio::select! {
                () = self.sender.closed() => return End::Left,
                () = tokio::time::sleep_until(limit) => {
                    let is_late = self.entry.now() >= deadline;
                    return if is_late { End::Late } else { End::Silent };
                }
                frame = answer.body.frame() => frame,
            };
            let bytes = match frame {
                None if is_framed || cutter.is_between_events() => return End::Whole,
                None | Some(Err(_)) => return End::Broken,
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => bytes,
                    Err(_trailers) => continue,
                },
            };
            open.hears();
            self.note_pause();
            for event in cutter.push(&bytes) {
                if let Some(id) = event.id {
                    if self.last_event.is_some_and(|last| id <= last) {
                        continue;
                    }
                    self.last_event = Some(id);
                }
                if self.sender.send(Ok(event.bytes)).await.is_err() {
                    return End::Left;
                }
            }
        }
    }

    /// Measures the time to the first piece and the pauses after it.
    fn note_pause(&mut self) {
        let now = self.entry.now();
        match self.heard_at.replace(now) {
            None => self.request.first_ms = Some(now.ms_since(self.request.arrived)),
            Some(before) => {
                self.request.gap_ms = self.request.gap_ms.max(now.ms_since(before));
            }
        }
    }

    fn limit(&self, deadline: MonoTime) -> Instant {
        let deadline = self.entry.clock().instant(deadline);
        if self.is_resumable {
            deadline.min(Instant::now() + Duration::from_millis(SILENCE_MS))
        } else {
            deadline
        }
    }

    /// Goes on at another backend server after the last event that was passed on.
    async fn resume(&mut self) -> Option<(Box<Answer>, OpenSend<D>)> {
        let is_allowed = self.request.sends < self.request.route.sends_max
            && self.entry.take_repeat(&self.request.service);
        if !is_allowed {
            return None;
        }
        let open = place(&self.entry, &mut self.request).await.ok()?;
        self.request.sends += 1;
        let server = open.server().clone();
        match send(&self.entry, &self.request, &open, self.last_event).await {
            Ok(answer) if answer.head.status.is_success() => {
                log::info!(
                    "event=stream-resumed id={} server={server} after={}",
                    self.request.id,
                    self.last_event.unwrap_or(0)
                );
                Some((Box::new(answer), open))
            }
            Ok(_failed) => {
                open.end(SendOutcome::Failed);
                None
            }
            Err(failure) => {
                open.end(failure.ending);
                None
            }
        }
    }
}
