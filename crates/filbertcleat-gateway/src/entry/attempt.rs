//! One attempt to send a request to a backend server.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::MonoTime;
use filbertcleat_serve::AttemptOutcome;
use filbertcleat_serve::RequestHash;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::SoftwareVersion;
use filbertcleat_serve::engine_priority;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http::header;
use http::response::Parts;

use super::answer::Answer;
use super::backend_body::BackendBody;
use super::backend_body::BodyKind;
use super::backend_connection::BackendConnection;
use super::body_framing::BodyFraming;
use super::crashes::admit_request;
use super::crashes::on_connection_refused;
use super::exchange::Exchange;
use super::exchange_error::ExchangeError;
use super::in_flight::InFlightAttempt;
use super::listed_start::StartCheck;
use super::listed_start::check_start;
use super::request::CallerRequest;
use super::request_body::RequestBody;
use super::sent_request::SentRequest;
use super::state::Entry;
use super::stream_relay::STALL_TIMEOUT_MS;
use crate::AttemptMetadata;
use crate::Dialect;
use crate::ResponseMetadata;

/// Extra time that the entry waits for a response after the request's deadline.
///
/// A backend server ends an expired request itself, and this is the time for that response to
/// arrive. It must stay shorter than the time that callers may be kept past their timeout.
pub(super) const RESPONSE_GRACE_MS: u64 = 150;

/// A response whose head has been received, with the connection that it arrives on.
pub(super) struct BackendResponse {
    pub head: Parts,
    pub body: BackendBody,
    pub framing: BodyFraming,
    /// The request that the response answers.
    pub sent: SentRequest,
    /// The software version of the backend server.
    pub software_version: SoftwareVersion,
    pub connection: BackendConnection,
    /// Whether the backend server asks for a pause.
    pub requests_pause: bool,
}

impl BackendResponse {
    /// Returns the outcome that the fleet records for a response that was read to its end.
    pub fn outcome(&self) -> AttemptOutcome {
        let is_failed = self.head.status.is_server_error();
        if is_failed { self.failure_outcome() } else { AttemptOutcome::Answered }
    }

    /// Returns the outcome that the fleet records for a response that is of no use.
    pub fn failure_outcome(&self) -> AttemptOutcome {
        if self.requests_pause { AttemptOutcome::Paused } else { AttemptOutcome::Failed }
    }
}

/// An attempt that ended without a valid response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct AttemptFailure {
    /// Whether the backend server may have run the request.
    pub may_have_run: bool,
    /// Whether the request reached the backend server.
    pub has_arrived: bool,
    /// The outcome that the fleet records for the backend server.
    pub outcome: AttemptOutcome,
    /// The reason that is written to the log.
    pub reason: &'static str,
}

impl AttemptFailure {
    /// Creates the failure of an attempt that did not reach the backend server.
    fn not_arrived(outcome: AttemptOutcome, reason: &'static str) -> Self {
        Self { may_have_run: false, has_arrived: false, outcome, reason }
    }

    /// Creates the failure of an attempt that the backend server states not to have run.
    fn not_run(outcome: AttemptOutcome, reason: &'static str) -> Self {
        Self { may_have_run: false, has_arrived: true, outcome, reason }
    }

    /// Replaces the outcome if the backend server asks for a pause, which is no fault.
    fn with_pause(self, requests_pause: bool) -> Self {
        let outcome = if requests_pause { AttemptOutcome::Paused } else { self.outcome };
        Self { outcome, ..self }
    }

    /// Creates the failure of an attempt that may have run.
    pub fn unknown(outcome: AttemptOutcome, reason: &'static str) -> Self {
        Self { may_have_run: true, has_arrived: true, outcome, reason }
    }
}

/// Sends a request to the backend server of `attempt` and waits for the head of the response.
pub(super) async fn send_attempt<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &CallerRequest,
    attempt: &InFlightAttempt<D>,
    resume_after: Option<u64>,
) -> Result<BackendResponse, AttemptFailure> {
    // If the caller leaves meanwhile, the request may have run.
    if let Some(charge) = &request.charge {
        charge.begin_run();
    }
    let result = send_to_server(entry, request, attempt, resume_after).await;
    if let Some(charge) = &request.charge
        && result.as_ref().is_err_and(|failure| !failure.may_have_run)
    {
        charge.end_without_run();
    }
    result
}

async fn send_to_server<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &CallerRequest,
    attempt: &InFlightAttempt<D>,
    resume_after: Option<u64>,
) -> Result<BackendResponse, AttemptFailure> {
    let listed = {
        let state = entry.state.borrow();
        let server = state.fleet.server(attempt.server()).map(|server| &server.listed);
        let server =
            server.filter(|listed| request.demand.allows_software(&listed.software_version));
        server
            .map(|listed| (listed.address, listed.software_version.clone(), listed.started_unix_ms))
    };
    let (address, software_version, started_unix_ms) =
        listed.ok_or(AttemptFailure::not_arrived(
            AttemptOutcome::Unreachable,
            "the backend server is no longer listed",
        ))?;

    let service = {
        let state = entry.state.borrow();
        let deployment = state.deployment.get();
        deployment.and_then(|deployment| deployment.services.get(&request.service)).cloned()
    };
    let mut sent = SentRequest {
        request: request.id.clone(),
        server: attempt.server().clone(),
        address,
        started_unix_ms,
        deadline: request.deadline,
        service,
    };
    // A pooled connection that turns out to be closed has not transmitted the request, so another
    // connection may be tried.
    let mut is_admitted = false;
    for _ in 0..CONNECTIONS_MAX {
        let checked_out = entry.pool.checkout(address, RequestHash::of(&request.id)).await;
        let mut connection = checked_out.map_err(|error| {
            log::debug!("event=connect-failed peer={address} reason=\"{error}\"");
            if error.kind() == ErrorKind::ConnectionRefused {
                on_connection_refused(entry, attempt.server());
            }
            AttemptFailure::not_arrived(
                AttemptOutcome::Unreachable,
                "connecting to the backend server failed",
            )
        })?;
        if !is_listed_start(entry, request, &mut connection, &sent).await? {
            continue;
        }
        let now = entry.now();
        let remaining_ms = request.remaining_ms(now);
        if remaining_ms == 0 {
            return Err(AttemptFailure::not_arrived(
                AttemptOutcome::Left,
                "the request's deadline has passed",
            ));
        }
        // Connecting takes time, in which another answer may have announced that the server is
        // leaving or asked for a pause.
        if !accepts_requests(entry, attempt.server(), now) {
            return Err(AttemptFailure::not_arrived(
                AttemptOutcome::Left,
                "the backend server is leaving or in a pause",
            ));
        }
        // A trial that finds its connection closed stays a trial.
        is_admitted = is_admitted || admit_request(entry, request);
        if !is_admitted {
            return Err(AttemptFailure::not_arrived(
                AttemptOutcome::Left,
                "backend servers ended under such requests",
            ));
        }
        sent.deadline = now.plus_ms(remaining_ms);
        let outbound = build_request(entry, request, attempt, remaining_ms, resume_after);
        let limit = Duration::from_millis(remaining_ms + RESPONSE_GRACE_MS);
        let exchange = Exchange {
            attempt: Rc::clone(attempt.counted()),
            request: request.id.clone(),
            started_unix_ms,
        };
        let answer = match exchange.run(connection, outbound, limit).await {
            Ok(answer) => answer,
            Err(ExchangeError::Unsent) => continue,
            Err(ExchangeError::Silent) => {
                return Err(AttemptFailure::unknown(
                    AttemptOutcome::Silent,
                    "no response before the deadline",
                ));
            }
            Err(ExchangeError::Broken) => {
                return Err(AttemptFailure::unknown(
                    AttemptOutcome::Broken,
                    "the connection broke before a response arrived",
                ));
            }
        };
        let requests_pause = answer.requests_pause;
        let (response, metadata) = begin_response(request, answer, sent, software_version);
        let validated = validate_response(entry, request, attempt, response, &metadata);
        return validated.map_err(|failure| failure.with_pause(requests_pause));
    }
    Err(AttemptFailure::not_arrived(
        AttemptOutcome::Unreachable,
        "every pooled connection was closed",
    ))
}

/// Returns whether the listed start of the backend server is at the other end of a connection, if
/// another server may have to send a part of the response: it has to be of the same software version.
async fn is_listed_start<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &CallerRequest,
    connection: &mut BackendConnection,
    server: &SentRequest,
) -> Result<bool, AttemptFailure> {
    let now = entry.now();
    if !request.route.retry_policy.is_resumable() || !accepts_requests(entry, &server.server, now) {
        return Ok(true);
    }
    let wait = Duration::from_millis(request.remaining_ms(now).min(STALL_TIMEOUT_MS));
    match check_start(entry, connection, server, wait).await {
        StartCheck::Listed => Ok(true),
        StartCheck::Untold => Ok(false),
        StartCheck::Other => Err(AttemptFailure::not_arrived(
            AttemptOutcome::Misdirected,
            "the listed start of the backend server has ended",
        )),
        StartCheck::Silent => Err(AttemptFailure::not_arrived(
            AttemptOutcome::Unreachable,
            "the backend server does not tell its start",
        )),
    }
}

/// Prepares to read the body of an answer.
fn begin_response(
    request: &CallerRequest,
    answer: Answer,
    sent: SentRequest,
    software_version: SoftwareVersion,
) -> (BackendResponse, ResponseMetadata) {
    let Answer { response, metadata, requests_pause, connection } = answer;
    let (head, body) = response.into_parts();
    let framing = BodyFraming::of(&head.headers, &body);
    let kind = body_kind(request, head.status);
    let body = BackendBody::new(body, connection.allowance().clone(), kind);
    let response =
        BackendResponse { head, body, framing, sent, software_version, connection, requests_pause };
    (response, metadata)
}

/// The most connections tried before a backend server counts as unreachable.
const CONNECTIONS_MAX: usize = 3;

/// Accepts a response that answers this request, and classifies any other as a failure.
fn validate_response<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &CallerRequest,
    attempt: &InFlightAttempt<D>,
    response: BackendResponse,
    metadata: &ResponseMetadata,
) -> Result<BackendResponse, AttemptFailure> {
    // A late response to an earlier request can arrive on a reused connection.
    let is_foreign = metadata.id.as_ref().is_some_and(|id| *id != request.id);
    if is_foreign {
        return Err(AttemptFailure::unknown(
            AttemptOutcome::Broken,
            "the response is for another request",
        ));
    }
    // A copy of the answer to a question for the server's identity names no request either.
    if metadata.id.is_none() && !response.connection.is_first_request() {
        return Err(AttemptFailure::unknown(
            AttemptOutcome::Broken,
            "the response without an id may be for an earlier request",
        ));
    }
    let status = response.head.status;
    if status == StatusCode::MISDIRECTED_REQUEST {
        let is_other = metadata.server.as_ref().is_some_and(|server| server != attempt.server());
        entry.pool.keep(response.sent.address, response.connection, &response.head.headers);
        return Err(if is_other {
            AttemptFailure::not_run(
                AttemptOutcome::Misdirected,
                "another backend server has the address",
            )
        } else {
            AttemptFailure::not_run(
                AttemptOutcome::Lacking,
                "the backend server lacks the adapter or its version",
            )
        });
    }
    if metadata.is_not_run {
        entry.pool.keep(response.sent.address, response.connection, &response.head.headers);
        return Err(AttemptFailure::not_run(
            AttemptOutcome::Full,
            "the backend server had no free capacity",
        ));
    }
    let is_valid = metadata.id.is_some() && !metadata.is_encoded;
    if !is_valid || (status.is_success() && !metadata.is_sealed) {
        return Err(AttemptFailure::unknown(
            AttemptOutcome::Broken,
            "the response has no response seal or id",
        ));
    }
    Ok(response)
}

fn accepts_requests<D: Dialect>(entry: &Entry<D>, server: &ServerId, now: MonoTime) -> bool {
    let state = entry.state.borrow();
    state.fleet.server(server).is_some_and(|server| server.accepts_requests(now))
}

/// Returns whether the body of a response with this status is forwarded as a stream.
pub(super) fn body_kind(request: &CallerRequest, status: StatusCode) -> BodyKind {
    match request.route.retry_policy {
        RetryPolicy::Stream { .. } if status.is_success() => BodyKind::Stream,
        _ => BodyKind::Whole,
    }
}

fn build_request<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &CallerRequest,
    attempt: &InFlightAttempt<D>,
    remaining_ms: u64,
    resume_after: Option<u64>,
) -> Request<RequestBody> {
    let mut headers = request.headers.clone();
    strip_connection_headers(&mut headers);
    let metadata = AttemptMetadata {
        deadline_ms: remaining_ms,
        server: attempt.server().clone(),
        caller: request.caller.clone(),
        priority: request
            .uses_engine
            .then(|| engine_priority(request.workspace.as_deref(), request.route.priority)),
        resume_after,
    };
    entry.dialect.write_attempt(&mut headers, &metadata);
    let mut outbound = Request::new(request.body.clone());
    *outbound.method_mut() = request.method.clone();
    *outbound.uri_mut() = request.uri.clone();
    *outbound.headers_mut() = headers;
    outbound
}

/// Removes hop-by-hop headers, and the framing headers that the HTTP library sets itself.
pub(super) fn strip_connection_headers(headers: &mut HeaderMap) {
    let listed: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in listed {
        headers.remove(name.as_str());
    }
    for name in [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ] {
        headers.remove(name);
    }
    for name in ["keep-alive", "proxy-connection"] {
        headers.remove(name);
    }
}
