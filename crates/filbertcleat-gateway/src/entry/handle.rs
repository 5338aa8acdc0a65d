//! The life of a caller's request.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filbertcleat_base::MonoTime;
use filbertcleat_serve::Attempts;
use filbertcleat_serve::FailedAttempt;
use filbertcleat_serve::NextAttempt;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::SendOutcome;
use filbertcleat_serve::ServerId;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;

use super::body::CallerBody;
use super::caller::CallerRequest;
use super::connection::Busy;
use super::line::Outcome;
use super::line::note_end;
use super::line::note_refusal;
use super::open::OpenSend;
use super::place::place;
use super::read::read;
use super::refusal::BACK_SOON;
use super::refusal::Refusal;
use super::send::ANSWER_LAG_MS;
use super::send::Answer;
use super::send::SendFailure;
use super::send::send;
use super::send::strip_connection_headers;
use super::state::Entry;
use super::stream::relay;
use crate::Dialect;

/// The largest plain answer that is read before it is passed on, so that a broken one can be had
/// again.
const ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Answers a request.
pub(super) async fn handle<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: Request<Incoming>,
    busy: Busy,
) -> Response<CallerBody> {
    let facts = entry.dialect.parse_request(request.headers());
    let id = facts.id.clone();
    let mut counted = Counted::new(entry, id.clone());
    let mut request = match read(entry, request, facts).await {
        Ok(request) => request,
        Err(refusal) => {
            counted.is_answered = true;
            note_refusal(&entry.metrics, id.as_deref(), refusal);
            return refusal.response();
        }
    };
    entry.count_request(&request.service);

    let outcome = serve(entry, &mut request).await;
    counted.is_answered = true;
    match outcome {
        Ok(Served::Whole { response, server }) => {
            let now = entry.now();
            note_end(&entry.metrics, &request, Some(&server), now, Outcome::Answered);
            response
        }
        Ok(Served::Stream { answer, open }) => relay(entry, request, answer, open, counted, busy),
        Err(refusal) => {
            let (now, server) = (entry.now(), request.avoided.last());
            note_end(&entry.metrics, &request, server, now, Outcome::Refused(refusal));
            refusal.response()
        }
    }
}

/// A request that counts as open until it is dropped, which is before its answer if the caller leaves.
pub(super) struct Counted<D: Dialect> {
    entry: Rc<Entry<D>>,
    id: Option<String>,
    arrived: MonoTime,
    is_answered: bool,
}

impl<D: Dialect> Counted<D> {
    fn new(entry: &Rc<Entry<D>>, id: Option<String>) -> Self {
        entry.request_begins();
        Self { entry: Rc::clone(entry), id, arrived: entry.now(), is_answered: false }
    }
}

impl<D: Dialect> Drop for Counted<D> {
    fn drop(&mut self) {
        self.entry.request_ends();
        if !self.is_answered {
            let took_ms = self.entry.now().ms_since(self.arrived);
            log::info!(
                "event=request-left id={} took_ms={took_ms}",
                self.id.as_deref().unwrap_or("-")
            );
        }
    }
}

/// An answer from a backend server.
enum Served<D: Dialect> {
    /// One that was read to its end.
    Whole { response: Response<CallerBody>, server: ServerId },
    /// A stream that has begun.
    Stream { answer: Box<Answer>, open: OpenSend<D> },
}

/// Sends a request to backend servers until one answers or no further one may be asked.
async fn serve<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &mut CallerRequest,
) -> Result<Served<D>, Refusal> {
    let mut last_failed: Option<(Response<CallerBody>, ServerId)> = None;
    let mut may_have_run = false;
    loop {
        let open = match place(entry, request).await {
            Ok(open) => open,
            Err(refusal) => return last_failed.map(whole).ok_or(refusal.truly(may_have_run)),
        };
        let server = open.server().clone();
        let resume_after = request.facts.last_event_id;
        let outcome = try_once(entry, request, open, resume_after).await;
        let failure = match outcome {
            Ok(Served::Whole { response, server }) if response.status().is_server_error() => {
                last_failed = Some((response, server));
                SendFailure::unknown(SendOutcome::Failed, "it answered with a failure")
            }
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        request.avoided.push(server);
        may_have_run |= failure.may_have_run;
        log_try(entry, request, failure);
        if let Err(refusal) = may_go_on(entry, request, failure) {
            return last_failed.map(whole).ok_or(refusal.truly(may_have_run));
        }
    }
}

fn whole<D: Dialect>((response, server): (Response<CallerBody>, ServerId)) -> Served<D> {
    Served::Whole { response, server }
}

/// Decides whether a request may go to another backend server after a failure.
fn may_go_on<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &CallerRequest,
    failure: SendFailure,
) -> Result<(), Refusal> {
    let tries = Attempts {
        retry_policy: request.route.retry_policy,
        sends: request.sends,
        sends_max: request.route.sends_max,
        servers_tried: request.avoided.len(),
        is_time_left: request.left_ms(entry.now()) > 0,
    };
    let failed =
        FailedAttempt { may_have_run: failure.may_have_run, has_arrived: failure.has_arrived };
    let may_go_on = match tries.next_after(failed) {
        NextAttempt::Unbudgeted => true,
        NextAttempt::Retry => entry.take_repeat(&request.service),
        NextAttempt::Stop => false,
    };
    if may_go_on {
        return Ok(());
    }
    Err(match (failure.may_have_run, failure.ending) {
        (false, _) if !tries.is_time_left => Refusal::Late("the time is over"),
        (false, _) => Refusal::NotRun("no backend server took the request", BACK_SOON),
        (true, SendOutcome::Silent) => Refusal::Late("no answer in time"),
        (true, _) => Refusal::Unknown("the answer was lost"),
    })
}

/// Sends a request to one backend server.
async fn try_once<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &mut CallerRequest,
    mut open: OpenSend<D>,
    resume_after: Option<u64>,
) -> Result<Served<D>, SendFailure> {
    let answer = match send(entry, request, &open, resume_after).await {
        Ok(answer) => answer,
        Err(failure) => {
            if failure.has_arrived {
                request.sends += 1;
            }
            open.end(failure.ending);
            return Err(failure);
        }
    };
    request.sends += 1;
    let is_stream = matches!(request.route.retry_policy, RetryPolicy::Stream { .. });
    if is_stream && answer.head.status.is_success() {
        return Ok(Served::Stream { answer: Box::new(answer), open });
    }

    open.hears();
    let Answer { mut head, body, address, sender, .. } = answer;
    let limit = Duration::from_millis(request.left_ms(entry.now()) + ANSWER_LAG_MS);
    let read = Limited::new(body, ANSWER_MAX_BYTES).collect();
    let body = match tokio::time::timeout(limit, read).await {
        Ok(Ok(body)) => body.to_bytes(),
        failed => {
            let failure = if failed.is_err() {
                SendFailure::unknown(SendOutcome::Silent, "the answer did not end in time")
            } else {
                SendFailure::unknown(SendOutcome::Broken, "the answer broke off")
            };
            open.end(failure.ending);
            return Err(failure);
        }
    };
    let server = open.server().clone();
    let is_failed = head.status.is_server_error();
    open.end(if is_failed { SendOutcome::Failed } else { SendOutcome::Answered });
    entry.pool.keep(address, sender, &head.headers);
    strip_connection_headers(&mut head.headers);
    Ok(Served::Whole { response: response(head.status, head.headers, body), server })
}

fn response(status: StatusCode, headers: http::HeaderMap, body: Bytes) -> Response<CallerBody> {
    let mut response = Response::new(CallerBody::Whole(Full::new(body)));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn log_try<D: Dialect>(entry: &Rc<Entry<D>>, request: &CallerRequest, failure: SendFailure) {
    log::info!(
        "event=send-failed id={} server={} sends={} ending={:?} may_have_run={} \
         left_ms={} reason=\"{}\"",
        request.id,
        request.avoided.last().map_or("-", ServerId::as_str),
        request.sends,
        failure.ending,
        failure.may_have_run,
        request.left_ms(entry.now()),
        failure.reason,
    );
}
