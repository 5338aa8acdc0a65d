//! The life of a caller's request.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filbertcleat_serve::Demand;
use filbertcleat_serve::Ending;
use filbertcleat_serve::RunRule;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::WaitCause;
use filbertcleat_serve::place_plain;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use tokio::sync::oneshot;

use super::body::CallerBody;
use super::caller::CallerRequest;
use super::connection::Busy;
use super::line::Outcome;
use super::line::note_end;
use super::line::note_given_up;
use super::line::note_place;
use super::line::note_refusal;
use super::open::OpenSend;
use super::open::Queued;
use super::refusal::Refusal;
use super::send::ANSWER_LAG_MS;
use super::send::Answer;
use super::send::SendFailure;
use super::send::send;
use super::send::strip_connection_headers;
use super::state::Entry;
use super::stream::relay;
use crate::Dialect;
use crate::RequestFacts;

/// The time of a caller that names none.
const DEADLINE_UNTOLD_MS: u64 = 30_000;
/// When to come back while no configuration is known or no backend server is in sight: about the
/// time that a new one needs to be noticed.
const BACK_LATER: Duration = Duration::from_millis(700);
/// When to come back after a backend server had no room: some answers end in that time.
const BACK_SOON: Duration = Duration::from_millis(300);
/// When to come back to another entry: at once, but for the way.
const BACK_ELSEWHERE: Duration = Duration::from_millis(20);
/// When to come back while no engine holds the model: about the time to load one from a disk.
const BACK_LOADED: Duration = Duration::from_millis(2_500);
/// A request whose model no engine holds can't be served for seconds, and is told so at once, but
/// for the time in which news of an engine may be on their way.
const ENGINE_PATIENCE: Duration = Duration::from_millis(250);
/// The largest plain answer that is read before it is passed on, so that a broken one can be had
/// again.
const ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;
/// A request may wait for an engine this many times its route's objective: later its answer is
/// worth little, and the caller does better to come back elsewhere.
const WAIT_OBJECTIVES: u64 = 2;

/// Answers a request.
pub(super) async fn handle<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: Request<Incoming>,
    busy: Busy,
) -> Response<CallerBody> {
    let counted = Counted::new(entry);
    let facts = entry.dialect.request(request.headers());
    let id = facts.id.clone();
    let mut request = match read(entry, request, facts).await {
        Ok(request) => request,
        Err(refusal) => {
            note_refusal(&entry.metrics, id.as_deref(), refusal);
            return refusal.response();
        }
    };
    entry.count_request(&request.service);

    match serve(entry, &mut request).await {
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

/// A request that counts as open until it is dropped.
pub(super) struct Counted<D: Dialect> {
    entry: Rc<Entry<D>>,
}

impl<D: Dialect> Counted<D> {
    fn new(entry: &Rc<Entry<D>>) -> Self {
        entry.request_begins();
        Self { entry: Rc::clone(entry) }
    }
}

impl<D: Dialect> Drop for Counted<D> {
    fn drop(&mut self) {
        self.entry.request_ends();
    }
}

/// An answer from a backend server.
enum Served<D: Dialect> {
    /// One that was read to its end.
    Whole { response: Response<CallerBody>, server: ServerId },
    /// A stream that has begun.
    Stream { answer: Box<Answer>, open: OpenSend<D> },
}

/// Reads a request and finds its route.
async fn read<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: Request<Incoming>,
    facts: RequestFacts,
) -> Result<CallerRequest, Refusal> {
    let arrived = entry.now();
    let (head, body) = request.into_parts();
    if entry.is_out() {
        // A request that begins now might not end before the process has to.
        return Err(Refusal::NotRun("the entry is leaving", BACK_ELSEWHERE));
    }
    let deployment = entry.state.borrow().deployment.clone();
    let deployment = deployment.ok_or(Refusal::NotRun("no configuration yet", BACK_LATER))?;

    let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let route = deployment.route(host, head.uri.path()).ok_or(Refusal::NoRoute)?;
    let id = facts.id.clone().ok_or(Refusal::Bad("the request has no id"))?;
    let service = route.service(&id).ok_or(Refusal::NoRoute)?.clone();
    let is_engine =
        deployment.services.get(&service).is_some_and(|service| service.engine.is_some());
    let wait_ms = facts.deadline_ms.unwrap_or(DEADLINE_UNTOLD_MS).min(route.timeout_ms);
    let deadline = arrived.plus_ms(wait_ms);

    let limited = Limited::new(body, deployment.limits.body_max_bytes);
    let body = tokio::time::timeout(Duration::from_millis(wait_ms), limited.collect()).await;
    let body = match body {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(Refusal::TooLarge),
        Ok(Err(_broken)) => return Err(Refusal::Bad("the body broke off")),
        Err(_elapsed) => return Err(Refusal::NotRun("the body did not arrive", BACK_SOON)),
    };
    let demand = Demand {
        service: service.clone(),
        model: facts.model.clone(),
        adapter: facts.adapter.clone(),
        version: 0,
        prompt_tokens: facts.prompt_tokens,
        answer_tokens: facts.answer_tokens,
        gap_ms: route.gap_ms,
        priority: route.priority,
    };
    Ok(CallerRequest {
        id,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        facts,
        route: route.clone(),
        service,
        is_engine,
        demand,
        arrived,
        deadline,
        queued_ms: 0,
        first_ms: None,
        gap_ms: 0,
        sends: 0,
        avoided: Vec::new(),
    })
}

/// Sends a request to backend servers until one answers or no further one may be asked.
async fn serve<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &mut CallerRequest,
) -> Result<Served<D>, Refusal> {
    let mut last_failed: Option<(Response<CallerBody>, ServerId)> = None;
    loop {
        let open = match place(entry, request).await {
            Ok(open) => open,
            Err(refusal) => return last_failed.map(whole).ok_or(refusal),
        };
        let server = open.server().clone();
        let resume_after = request.facts.last_event;
        let outcome = try_once(entry, request, open, resume_after).await;
        let failure = match outcome {
            Ok(Served::Whole { response, server }) if response.status().is_server_error() => {
                last_failed = Some((response, server));
                SendFailure::unknown(Ending::Failed, "it answered with a failure")
            }
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        request.avoided.push(server);
        log_try(entry, request, failure);
        if let Err(refusal) = may_go_on(entry, request, failure) {
            return last_failed.map(whole).ok_or(refusal);
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
    if failure.may_have_run && !request.route.kind.is_repeatable() {
        return Err(match failure.ending {
            Ending::Silent => Refusal::Late("no answer in time"),
            _ => Refusal::Unknown("the answer was lost"),
        });
    }
    let refusal = match (failure.may_have_run, failure.ending) {
        (false, _) => Refusal::NotRun("no backend server took the request", BACK_SOON),
        (true, Ending::Silent) => Refusal::Late("no answer in time"),
        (true, _) => Refusal::Unknown("the answer was lost"),
    };
    if request.left_ms(entry.now()) == 0 {
        return Err(Refusal::Late("the time is over"));
    }
    if !failure.has_arrived {
        // Nothing reached a backend server, so nothing is repeated.
        return if request.avoided.len() < ADDRESSES_TRIED { Ok(()) } else { Err(refusal) };
    }
    if request.sends >= request.route.sends_max || !entry.take_repeat(&request.service) {
        return Err(refusal);
    }
    Ok(())
}

/// Backend servers that can't be reached are passed over so often before the request is refused.
const ADDRESSES_TRIED: usize = 4;

/// Finds the backend server for a request, and waits for it if need be.
pub(super) async fn place<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &mut CallerRequest,
) -> Result<OpenSend<D>, Refusal> {
    let now = entry.now();
    if !request.is_engine {
        let state = &mut *entry.state.borrow_mut();
        let home = &entry.settings.domain;
        let server = place_plain(now, &state.fleet, &request.demand, home, &request.avoided)
            .ok_or(Refusal::NotRun("no backend server of the service", BACK_LATER))?;
        if let Some(server) = state.fleet.server(&server) {
            note_place(&entry.metrics, request, server, now);
        }
        state.fleet.sent(now, &server, &request.demand);
        return Ok(OpenSend::counted(entry, server, request.demand.clone()));
    }

    let (sender, receiver) = oneshot::channel();
    let queued = {
        let state = &mut *entry.state.borrow_mut();
        if let Some(key) = &request.demand.adapter {
            request.demand.version = state.versions.get(key).copied().unwrap_or(0);
        }
        if let Some(model) = &request.demand.model {
            state.count_demand(now, model);
        }
        let ticket = state.queue.push(now, request.demand.clone(), request.avoided.clone());
        state.waiting.insert(ticket, sender);
        Queued { entry: Rc::clone(entry), ticket }
    };
    entry.changed.notify_one();
    let patience_ms =
        (request.route.objective_ms * WAIT_OBJECTIVES).min(request.left_ms(now) / 2).max(1);
    let placed = wait_for_engine(&queued, receiver, Duration::from_millis(patience_ms)).await;
    let cause = queued.leave();
    request.queued_ms += entry.now().ms_since(now);
    if let Some(server) = placed {
        let now = entry.now();
        if let Some(server) = entry.state.borrow().fleet.server(&server) {
            note_place(&entry.metrics, request, server, now);
        }
        return Ok(OpenSend::counted(entry, server, request.demand.clone()));
    }
    let (cause, at) = cause.unwrap_or((WaitCause::Look, None));
    note_given_up(request, &entry.state.borrow().fleet, entry.now(), cause, at.as_ref());
    let back = if cause == WaitCause::Engine { BACK_LOADED } else { BACK_SOON };
    Err(Refusal::NotRun(cause.as_str(), back))
}

/// Waits for an engine, but not long for one that holds the model at all.
async fn wait_for_engine<D: Dialect>(
    queued: &Queued<D>,
    mut receiver: oneshot::Receiver<ServerId>,
    patience: Duration,
) -> Option<ServerId> {
    let first = patience.min(ENGINE_PATIENCE);
    if let Ok(placed) = tokio::time::timeout(first, &mut receiver).await {
        return placed.ok();
    }
    if queued.cause() == Some(WaitCause::Engine) {
        return None;
    }
    let placed = tokio::time::timeout(patience.saturating_sub(first), receiver).await;
    placed.ok()?.ok()
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
    let is_stream = matches!(request.route.kind, RunRule::Stream { .. });
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
                SendFailure::unknown(Ending::Silent, "the answer did not end in time")
            } else {
                SendFailure::unknown(Ending::Broken, "the answer broke off")
            };
            open.end(failure.ending);
            return Err(failure);
        }
    };
    let server = open.server().clone();
    let is_failed = head.status.is_server_error();
    open.end(if is_failed { Ending::Failed } else { Ending::Answered });
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
