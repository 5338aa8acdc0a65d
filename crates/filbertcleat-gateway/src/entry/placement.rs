//! Places a request on a backend server, queueing it first if its service runs an engine.

use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::MonoTime;
use filbertcleat_base::stable_hash;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::RequestTimes;
use filbertcleat_serve::WaitCause;
use filbertcleat_serve::engine_pause_end;
use filbertcleat_serve::place_plain;
use filbertcleat_serve::plain_pause_end;
use filbertcleat_serve::plain_permit_wait_ms;
use filbertcleat_serve::return_delay_ms;
use tokio::sync::oneshot;

use super::crashes::crash_refusal;
use super::in_flight::InFlightAttempt;
use super::in_flight::QueueGuard;
use super::prompt_turns::await_turn;
use super::refusal::RETRY_AFTER_FULL;
use super::refusal::RETRY_AFTER_UNAVAILABLE;
use super::refusal::Refusal;
use super::request::CallerRequest;
use super::request_log::log_give_up;
use super::request_log::log_placement;
use super::state::Entry;
use crate::Dialect;

/// `Retry-After` while no engine has the model loaded: about the time to load a model from disk.
const RETRY_AFTER_MODEL_LOAD: Duration = Duration::from_millis(2_500);
/// The longest `Retry-After` of a queue estimate. Beyond it the estimate no longer holds, because
/// callers ahead in the queues have left by then.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);
/// A request is refused after this time if no engine has its model loaded, since loading one takes
/// seconds. The delay allows for an agent's update that is still in transit.
const MODEL_WAIT_MAX: Duration = Duration::from_millis(250);
/// A request may wait for an engine for this multiple of its route's latency objective. After that
/// the response has little value, and the caller is better served by a retry at another entry.
const MAX_WAIT_FACTOR: u64 = 2;

/// Picks the backend server for a request and counts the request as in flight there.
///
/// Requests to a service with engines wait in the queue until the dispatcher assigns an engine.
/// Returns a refusal with a `Retry-After` if none is assigned within the request's maximum wait, or
/// at once if all engines are in a pause.
pub(super) async fn place_request<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &mut CallerRequest,
) -> Result<InFlightAttempt<D>, Refusal> {
    let now = entry.now();
    let is_version_gone = request.has_origin
        && entry.state.borrow().fleet.candidates_for(&request.demand).next().is_none();
    if is_version_gone {
        let reason = "no backend server of the stream's software version";
        return Err(Refusal::NotRun(reason, RETRY_AFTER_UNAVAILABLE));
    }
    if let Some(refusal) = crash_refusal(entry, request) {
        return Err(refusal);
    }
    if !request.uses_engine {
        let state = &mut *entry.state.borrow_mut();
        state.fleet.expire_unlisted(now);
        let failure_domain = &entry.settings.failure_domain;
        let server =
            place_plain(now, &state.fleet, &request.demand, failure_domain, &request.avoided)
                .ok_or_else(|| plain_refusal(now, &state.fleet, request))?;
        let backlog_ms = state.fleet.on_sent(now, &server, &request.demand);
        if let Some(server) = state.fleet.server(&server) {
            log_placement(&entry.metrics, request, server, backlog_ms, now);
        }
        return Ok(InFlightAttempt::new(entry, server, request.demand.clone(), backlog_ms));
    }

    {
        let state = &mut *entry.state.borrow_mut();
        if let Some(key) = &request.demand.adapter {
            request.demand.min_version = state.versions.get(key).copied().unwrap_or(0);
        }
        if let Some(model) = &request.demand.model {
            state.count_model_request(now, model);
        }
    }
    let max_wait_ms = request
        .route
        .latency_objective_ms
        .saturating_mul(MAX_WAIT_FACTOR)
        .min(request.remaining_ms(now) / 2)
        .max(1);
    let (placed, wait_cause) = loop {
        let (queued, receiver) = enqueue(entry, request);
        let waited_ms = entry.now().ms_since(now);
        let max_wait = Duration::from_millis(max_wait_ms.saturating_sub(waited_ms));
        let placed = wait_for_engine(&queued, receiver, max_wait).await;
        let wait_cause = queued.remove();
        let Some(mut attempt) = placed else { break (None, wait_cause) };
        if await_turn(entry, request, &mut attempt).await {
            break (Some(attempt), wait_cause);
        }
        attempt.end_unsent();
    };
    request.queued_ms += entry.now().ms_since(now);
    if let Some(attempt) = placed {
        let now = entry.now();
        if let Some(server) = entry.state.borrow().fleet.server(attempt.server()) {
            log_placement(&entry.metrics, request, server, attempt.backlog_ms(), now);
        }
        return Ok(attempt);
    }
    if let Some(refusal) = crash_refusal(entry, request) {
        return Err(refusal);
    }
    let (cause, at) = wait_cause.unwrap_or((WaitCause::Pending, None));
    log_give_up(request, &entry.state.borrow().fleet, entry.now(), cause, at.as_ref());
    let retry_after = match cause {
        WaitCause::Engine => RETRY_AFTER_MODEL_LOAD,
        WaitCause::AdapterLoad => RETRY_AFTER_FULL,
        WaitCause::Paused => {
            let refusal = pause_refusal(entry, request);
            return Err(refusal.unwrap_or(Refusal::NotRun(cause.as_str(), RETRY_AFTER_FULL)));
        }
        WaitCause::Pending | WaitCause::Capacity => capacity_wait(entry, request),
    };
    Err(Refusal::NotRun(cause.as_str(), retry_after))
}

/// Adds a request to the queue.
fn enqueue<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &CallerRequest,
) -> (QueueGuard<D>, oneshot::Receiver<InFlightAttempt<D>>) {
    let (sender, receiver) = oneshot::channel();
    let state = &mut *entry.state.borrow_mut();
    let times = RequestTimes { arrived_at: request.arrived_at, deadline: request.deadline };
    let (demand, avoided) = (request.demand.clone(), request.avoided.clone());
    let ticket = state.queue.push_with_times(entry.now(), demand, avoided, times);
    state.placements.insert(ticket, sender);
    entry.dispatcher_wakeup.notify_one();
    (QueueGuard { entry: Rc::clone(entry), ticket }, receiver)
}

/// Returns the refusal of a request if all backend servers that might serve it are in a pause.
///
/// Its `Retry-After` ends when the first of them opens, and a little later for most callers.
pub(super) fn pause_refusal<D: Dialect>(
    entry: &Entry<D>,
    request: &CallerRequest,
) -> Option<Refusal> {
    let now = entry.now();
    let fleet = &entry.state.borrow().fleet;
    let pause_end = if request.uses_engine { engine_pause_end } else { plain_pause_end };
    let opens_at = pause_end(now, fleet, &request.demand, &request.avoided)?;
    Some(refuse_until(now, opens_at, request))
}

fn refuse_until(now: MonoTime, opens_at: MonoTime, request: &CallerRequest) -> Refusal {
    let delay_ms = return_delay_ms(now, opens_at, stable_hash(&request.id));
    Refusal::NotRun("every backend server asked for a pause", Duration::from_millis(delay_ms))
}

/// Returns the refusal of a request for which no server without an engine is left.
fn plain_refusal(now: MonoTime, fleet: &Fleet, request: &CallerRequest) -> Refusal {
    if let Some(opens_at) = plain_pause_end(now, fleet, &request.demand, &request.avoided) {
        return refuse_until(now, opens_at, request);
    }
    if let Some(wait_ms) = plain_permit_wait_ms(now, fleet, &request.demand, &request.avoided) {
        let wait = Duration::from_millis(wait_ms).min(RETRY_AFTER_MAX);
        // Callers that were refused at the same time come back one after the other.
        let spread = wait.mul_f64(stable_hash(&request.id) as f64 / u64::MAX as f64);
        return Refusal::NotRun("every backend server named a limit", wait + spread);
    }
    let mut servers = fleet.servers().filter(|server| server.listed.service == request.service);
    if servers.any(|server| server.paused_until(now).is_some()) {
        return Refusal::NotRun("no room beside the servers in a pause", RETRY_AFTER_FULL);
    }
    Refusal::NotRun("no backend server of the service", RETRY_AFTER_UNAVAILABLE)
}

/// Returns the `Retry-After` until the fleet is expected to have free capacity for the request.
fn capacity_wait<D: Dialect>(entry: &Entry<D>, request: &CallerRequest) -> Duration {
    let state = entry.state.borrow();
    let capacity_ms = state.queue.estimated_wait_ms(entry.now(), &state.fleet, &request.demand);
    capacity_ms
        .map_or(RETRY_AFTER_UNAVAILABLE, Duration::from_millis)
        .clamp(RETRY_AFTER_FULL, RETRY_AFTER_MAX)
}

/// Waits until the dispatcher assigns an engine, at most for `max_wait`.
///
/// Gives up after `MODEL_WAIT_MAX` if no engine has the model loaded.
async fn wait_for_engine<D: Dialect>(
    queued: &QueueGuard<D>,
    mut receiver: oneshot::Receiver<InFlightAttempt<D>>,
    max_wait: Duration,
) -> Option<InFlightAttempt<D>> {
    let first_wait = max_wait.min(MODEL_WAIT_MAX);
    if let Ok(placed) = tokio::time::timeout(first_wait, &mut receiver).await {
        return placed.ok();
    }
    if queued.wait_cause() == Some(WaitCause::Engine) {
        return None;
    }
    let placed = tokio::time::timeout(max_wait.saturating_sub(first_wait), receiver).await;
    placed.ok()?.ok()
}
