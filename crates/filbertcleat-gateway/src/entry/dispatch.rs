//! Dispatches queued requests to engines.

use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::MonoTime;
use filbertcleat_serve::CrashVerdict;
use filbertcleat_serve::RequestDemand;
use filbertcleat_serve::RequestQueue;
use filbertcleat_serve::SentRequest;

use super::agent_updates::update_agents;
use super::in_flight::InFlightAttempt;
use super::state::Entry;
use crate::Dialect;

/// The longest interval between two passes while requests are queued. Prefill capacity is freed by
/// the passage of time alone, without an event that wakes the dispatcher.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(15);
/// The interval while a queued request waits out its jitter, which is tens of milliseconds long.
const JITTER_DISPATCH_INTERVAL: Duration = Duration::from_millis(3);
/// The interval while the queue is empty: agents still need periodic updates from the entry.
const IDLE_DISPATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Dispatches queued requests and sends updates to agents, whenever the state changes and at least
/// once per interval.
pub(super) async fn run_dispatcher<D: Dialect>(entry: Rc<Entry<D>>) {
    loop {
        let interval = dispatch_interval(&entry.state.borrow().queue);
        // A timeout is no error: the pass is due with or without a change.
        let _ = tokio::time::timeout(interval, entry.dispatcher_wakeup.notified()).await;
        let now = entry.now();
        dispatch_queued(&entry, now);
        update_agents(&entry);
    }
}

fn dispatch_interval(queue: &RequestQueue) -> Duration {
    if queue.has_jittered_requests() {
        JITTER_DISPATCH_INTERVAL
    } else if queue.is_empty() {
        IDLE_DISPATCH_INTERVAL
    } else {
        DISPATCH_INTERVAL
    }
}

fn dispatch_queued<D: Dialect>(entry: &Rc<Entry<D>>, now: MonoTime) {
    let mut abandoned = Vec::new();
    {
        let state = &mut *entry.state.borrow_mut();
        state.fleet.expire_unlisted(now);
        state.fleet.list_held_back(now);
        let Some(deployment) = state.deployment.get().cloned() else { return };
        let engine_spec =
            |demand: &RequestDemand| deployment.services.get(&demand.service)?.engine.as_ref();
        let failure_domain = &entry.settings.failure_domain;
        for sent in state.queue.dispatch(now, &mut state.fleet, failure_domain, engine_spec) {
            let SentRequest { ticket, server, demand, backlog_ms } = sent;
            let attempt = InFlightAttempt::new(entry, server, demand, backlog_ms);
            abandoned.push(match state.placements.remove(&ticket) {
                Some(sender) => sender.send(attempt).err(),
                None => Some(attempt),
            });
        }
        // A request whose sender is dropped is refused at once instead of waiting for its time to
        // pass.
        for ticket in state.queue.paused_requests() {
            state.placements.remove(&ticket);
        }
        let evidence = state.fleet.facts().crashes();
        let is_turned_away = |demand: &RequestDemand| {
            matches!(evidence.verdict(now, &demand.crash_suspects), CrashVerdict::TurnedAway { .. })
        };
        for ticket in state.queue.requests_where(is_turned_away) {
            state.placements.remove(&ticket);
        }
    }
    // Attempts whose caller has gone are dropped here, after the borrow of the state has ended:
    // dropping one borrows the state again to update its counts.
    drop(abandoned);
}
