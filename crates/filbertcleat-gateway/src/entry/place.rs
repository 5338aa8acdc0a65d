//! Finding the backend server for a request.

use std::rc::Rc;
use std::time::Duration;

use filbertcleat_serve::WaitCause;
use filbertcleat_serve::place_plain;
use tokio::sync::oneshot;

use super::caller::CallerRequest;
use super::line::note_given_up;
use super::line::note_place;
use super::open::OpenSend;
use super::open::Queued;
use super::refusal::BACK_LATER;
use super::refusal::BACK_SOON;
use super::refusal::Refusal;
use super::state::Entry;
use crate::Dialect;

/// When to come back while no engine holds the model: about the time to load one from a disk.
const BACK_LOADED: Duration = Duration::from_millis(2_500);
/// The latest time to come back that is told: by then callers have left the queues that it rests on.
const BACK_MAX: Duration = Duration::from_secs(5);
/// A request whose model no engine holds can't be served for seconds, and is told so at once, but
/// for the time in which news of an engine may be on their way.
const ENGINE_PATIENCE: Duration = Duration::from_millis(250);
/// A request may wait for an engine this many times its route's objective: later its answer is
/// worth little, and the caller does better to come back elsewhere.
const WAIT_OBJECTIVES: u64 = 2;

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
        state.fleet.on_sent(now, &server, &request.demand);
        return Ok(OpenSend::counted(entry, server, request.demand.clone()));
    }

    let (sender, receiver) = oneshot::channel();
    let queued = {
        let state = &mut *entry.state.borrow_mut();
        if let Some(key) = &request.demand.adapter {
            request.demand.min_version = state.versions.get(key).copied().unwrap_or(0);
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
        (request.route.latency_objective_ms * WAIT_OBJECTIVES).min(request.left_ms(now) / 2).max(1);
    let placed = wait_for_engine(&queued, receiver, Duration::from_millis(patience_ms)).await;
    let cause = queued.leave();
    request.queued_ms += entry.now().ms_since(now);
    if let Some(open) = placed {
        let now = entry.now();
        if let Some(server) = entry.state.borrow().fleet.server(open.server()) {
            note_place(&entry.metrics, request, server, now);
        }
        return Ok(open);
    }
    let (cause, at) = cause.unwrap_or((WaitCause::Pending, None));
    note_given_up(request, &entry.state.borrow().fleet, entry.now(), cause, at.as_ref());
    let back = match cause {
        WaitCause::Engine => BACK_LOADED,
        WaitCause::AdapterLoad => BACK_SOON,
        WaitCause::Pending | WaitCause::Capacity => room_in(entry, request),
    };
    Err(Refusal::NotRun(cause.as_str(), back))
}

/// Returns when room for a request is expected.
fn room_in<D: Dialect>(entry: &Entry<D>, request: &CallerRequest) -> Duration {
    let state = entry.state.borrow();
    let room_ms = state.queue.estimated_wait_ms(entry.now(), &state.fleet, &request.demand);
    room_ms.map_or(BACK_LATER, Duration::from_millis).clamp(BACK_SOON, BACK_MAX)
}

/// Waits for an engine, but not long for one that holds the model at all.
async fn wait_for_engine<D: Dialect>(
    queued: &Queued<D>,
    mut receiver: oneshot::Receiver<OpenSend<D>>,
    patience: Duration,
) -> Option<OpenSend<D>> {
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
