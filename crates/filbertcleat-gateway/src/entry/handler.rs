//! Handles a caller's request: reads it, forwards it and retries failed attempts.

use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::MonoTime;
use filbertcleat_serve::AttemptOutcome;
use filbertcleat_serve::Attempts;
use filbertcleat_serve::FailedAttempt;
use filbertcleat_serve::NextAttempt;
use filbertcleat_serve::ServerId;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::allowances::charge_request;
use super::attempt::AttemptFailure;
use super::attempt::BackendResponse;
use super::attempt::RESPONSE_GRACE_MS;
use super::attempt::body_kind;
use super::attempt::send_attempt;
use super::attempt::strip_connection_headers;
use super::backend_body::BodyKind;
use super::body::CallerBody;
use super::connection::ActiveRequest;
use super::crashes::crash_refusal;
use super::in_flight::InFlightAttempt;
use super::origins::restrict_software;
use super::placement::pause_refusal;
use super::placement::place_request;
use super::read_request::RefusedRequest;
use super::read_request::read_request;
use super::refusal::EXITING;
use super::refusal::RETRY_AFTER_FULL;
use super::refusal::Refusal;
use super::request::CallerRequest;
use super::request_log::Outcome;
use super::request_log::log_end;
use super::request_log::log_refusal;
use super::state::Entry;
use super::stream_relay::relay_stream;
use super::whole_body::WholeBody;
use crate::Dialect;

/// Handles a caller's request and returns the response.
pub(super) async fn handle_request<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: Request<Incoming>,
    active: ActiveRequest,
) -> Response<CallerBody> {
    let metadata = entry.dialect.parse_request(request.headers());
    let id = metadata.id.clone();
    let mut open = OpenRequest::new(entry, id.clone());
    let mut request = match read_request(entry, request, metadata, &active).await {
        Ok(request) => request,
        Err(RefusedRequest { refusal, is_read }) => {
            open.is_answered = true;
            log_refusal(&entry.metrics, id.as_deref(), refusal);
            let mut response = refusal.response();
            if !is_read {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            return response;
        }
    };
    let forwarded = tokio::select! {
        biased;
        forwarded = charge_and_forward(entry, &mut request) => Some(forwarded),
        () = entry.answers_due() => None,
    };
    let result = forwarded.unwrap_or_else(|| Err(EXITING.after_attempts(request.may_have_run)));
    open.is_answered = true;
    match result {
        Ok(Forwarded::Complete { response, server }) => {
            let now = entry.now();
            log_end(&entry.metrics, &request, Some(&server), now, Outcome::Answered);
            response
        }
        Ok(Forwarded::Streaming { response, attempt }) => {
            relay_stream(entry, request, response, attempt, open, active)
        }
        Err(refusal) => {
            let (now, server) = (entry.now(), request.avoided.last());
            log_end(&entry.metrics, &request, server, now, Outcome::Refused(refusal));
            refusal.response()
        }
    }
}

/// Counts a request as open until this guard is dropped.
///
/// If the caller disconnects, the guard is dropped before the request has been answered.
pub(super) struct OpenRequest<D: Dialect> {
    entry: Rc<Entry<D>>,
    id: Option<String>,
    arrived_at: MonoTime,
    is_answered: bool,
}

impl<D: Dialect> OpenRequest<D> {
    fn new(entry: &Rc<Entry<D>>, id: Option<String>) -> Self {
        entry.add_open_request();
        Self { entry: Rc::clone(entry), id, arrived_at: entry.now(), is_answered: false }
    }
}

impl<D: Dialect> Drop for OpenRequest<D> {
    fn drop(&mut self) {
        self.entry.remove_open_request();
        if !self.is_answered {
            let took_ms = self.entry.now().ms_since(self.arrived_at);
            log::info!(
                "event=request-left id={} took_ms={took_ms}",
                self.id.as_deref().unwrap_or("-")
            );
        }
    }
}

/// A response from a backend server.
enum Forwarded<D: Dialect> {
    /// A response that was read to its end.
    Complete { response: Response<CallerBody>, server: ServerId },
    /// A stream whose head has been received.
    Streaming { response: Box<BackendResponse>, attempt: InFlightAttempt<D> },
}

/// Charges a request to the allowance of its workspace and forwards it.
async fn charge_and_forward<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &mut CallerRequest,
) -> Result<Forwarded<D>, Refusal> {
    request.charge = charge_request(entry, request).await?;
    entry.count_request(&request.service);
    forward(entry, request).await
}

/// Sends a request to backend servers until one responds or no further attempt is allowed.
///
/// If every attempt fails, returns the last failure response of a backend server, else a refusal.
async fn forward<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &mut CallerRequest,
) -> Result<Forwarded<D>, Refusal> {
    restrict_software(entry, request).await?;
    let mut last_failure: Option<(Response<CallerBody>, ServerId)> = None;
    loop {
        let attempt = match place_request(entry, request).await {
            Ok(attempt) => attempt,
            Err(refusal) => {
                let refusal = refusal.after_attempts(request.may_have_run);
                return last_failure.map(complete).ok_or(refusal);
            }
        };
        let may_have_run = std::mem::replace(&mut request.may_have_run, true);
        let server = attempt.server().clone();
        let resume_after = request.metadata.last_event_id;
        let outcome = run_attempt(entry, request, attempt, resume_after).await;
        let failure = match outcome {
            Ok(Forwarded::Complete { response, server }) if response.status().is_server_error() => {
                last_failure = Some((response, server));
                AttemptFailure::unknown(
                    AttemptOutcome::Failed,
                    "the backend server returned a 5xx status",
                )
            }
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        request.avoided.push(server);
        request.may_have_run = may_have_run || failure.may_have_run;
        log_failed_attempt(entry, request, failure);
        if let Err(refusal) = check_retry(entry, request, failure) {
            let refusal = refusal.after_attempts(request.may_have_run);
            return last_failure.map(complete).ok_or(refusal);
        }
    }
}

fn complete<D: Dialect>((response, server): (Response<CallerBody>, ServerId)) -> Forwarded<D> {
    Forwarded::Complete { response, server }
}

/// Checks whether a request may be sent again after a failed attempt; if not, returns the refusal.
pub(super) fn check_retry<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &CallerRequest,
    failure: AttemptFailure,
) -> Result<(), Refusal> {
    let attempts = Attempts {
        retry_policy: request.route.retry_policy,
        attempts_made: request.attempts,
        attempts_max: request.route.attempts_max,
        servers_tried: request.avoided.len(),
        is_time_left: request.remaining_ms(entry.now()) > 0,
    };
    let failed_attempt =
        FailedAttempt { may_have_run: failure.may_have_run, has_arrived: failure.has_arrived };
    // A retry that would be refused must not draw on the budget.
    let known_refusal = crash_refusal(entry, request).or_else(|| pause_refusal(entry, request));
    let is_allowed = match attempts.next_after(failed_attempt) {
        _ if known_refusal.is_some() => false,
        NextAttempt::Unbudgeted => true,
        NextAttempt::Retry => entry.take_retry(&request.service),
        NextAttempt::Stop => false,
    };
    if is_allowed {
        return Ok(());
    }
    Err(match (failure.may_have_run, failure.outcome) {
        (false, _) if !attempts.is_time_left => Refusal::DeadlineExceeded("the time is over"),
        (false, _) => known_refusal
            .unwrap_or(Refusal::NotRun("no backend server took the request", RETRY_AFTER_FULL)),
        (true, AttemptOutcome::Silent) => Refusal::DeadlineExceeded("no answer in time"),
        (true, _) => Refusal::OutcomeUnknown("the answer was lost"),
    })
}

/// Sends a request to one backend server, and reads the response unless it is a stream.
async fn run_attempt<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &mut CallerRequest,
    mut attempt: InFlightAttempt<D>,
    resume_after: Option<u64>,
) -> Result<Forwarded<D>, AttemptFailure> {
    let backend_response = match send_attempt(entry, request, &attempt, resume_after).await {
        Ok(backend_response) => backend_response,
        Err(failure) => {
            if failure.has_arrived {
                request.attempts += 1;
            }
            attempt.end(failure.outcome);
            return Err(failure);
        }
    };
    request.attempts += 1;
    if body_kind(request, backend_response.head.status) == BodyKind::Stream {
        return Ok(Forwarded::Streaming { response: Box::new(backend_response), attempt });
    }

    let outcome = backend_response.outcome();
    // The time of a refusal says nothing of how fast the engine is.
    if outcome != AttemptOutcome::Paused {
        attempt.on_response_bytes();
    }
    let BackendResponse { mut head, body, framing, sent, connection, .. } = backend_response;
    let limit = Duration::from_millis(request.remaining_ms(entry.now()) + RESPONSE_GRACE_MS);
    let held = entry.caller_memory.begin_body();
    let address = sent.address;
    let body = WholeBody { body, framing, sent, connection, held, outcome };
    let read = body.read(attempt.counted(), Instant::now() + limit).await;
    let (body, connection) = match read {
        Ok(read) => read,
        Err(failure) => {
            attempt.end(failure.outcome);
            return Err(failure);
        }
    };
    let server = attempt.server().clone();
    match outcome {
        AttemptOutcome::Answered => attempt.end_complete(),
        failed => attempt.end(failed),
    }
    entry.pool.keep(address, connection, &head.headers);
    strip_connection_headers(&mut head.headers);
    Ok(Forwarded::Complete { response: build_response(head.status, head.headers, body), server })
}

fn build_response(
    status: StatusCode,
    headers: http::HeaderMap,
    body: CallerBody,
) -> Response<CallerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn log_failed_attempt<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &CallerRequest,
    failure: AttemptFailure,
) {
    log::info!(
        "event=send-failed id={} server={} sends={} ending={:?} may_have_run={} \
         left_ms={} reason=\"{}\"",
        request.id,
        request.avoided.last().map_or("-", ServerId::as_str),
        request.attempts,
        failure.outcome,
        failure.may_have_run,
        request.remaining_ms(entry.now()),
        failure.reason,
    );
}
