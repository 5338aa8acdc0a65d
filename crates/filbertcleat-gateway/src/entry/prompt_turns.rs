//! Asks agents when prompts may be sent to their engines.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertcleat_serve::PromptTurn;
use filbertcleat_serve::ServerId;
use tokio::sync::oneshot;

use super::in_flight::InFlightAttempt;
use super::request::CallerRequest;
use super::state::Entry;
use crate::Dialect;
use crate::metrics::Metric;
use crate::peer_socket::PeerUpdate;

/// How long an agent is given to respond: several round trips between failure domains. Without a
/// response the prompt is sent at once, as the agent may be away.
const REPLY_TIMEOUT: Duration = Duration::from_millis(12);

/// The questions that agents have not answered, by their numbers.
#[derive(Debug, Default)]
pub(super) struct OpenTurns {
    next: u64,
    replies: HashMap<u64, oneshot::Sender<PromptTurn>>,
}

/// Waits until the prompt of a placed request may be sent, if the agent beside the engine has to be
/// asked. Returns whether the prompt may be sent; if not, the request has to be placed anew.
pub(super) async fn await_turn<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &CallerRequest,
    attempt: &mut InFlightAttempt<D>,
) -> bool {
    let now = entry.now();
    let (turn, reply) = {
        let state = &mut *entry.state.borrow_mut();
        let Some(server) = state.fleet.server(attempt.server()) else { return true };
        let Some(turn_request) = server.turn_request(now, &request.demand) else { return true };
        let to = SocketAddr::new(server.listed.address.ip(), entry.settings.peer_port);
        let turns = &mut state.turns;
        turns.next += 1;
        let (sender, receiver) = oneshot::channel();
        turns.replies.insert(turns.next, sender);
        let update = PeerUpdate::PromptTurn { turn: turns.next, request: turn_request };
        entry.peers.send(to, &update);
        (OpenTurn { entry, turn: turns.next }, receiver)
    };
    let reply = match tokio::time::timeout(REPLY_TIMEOUT, reply).await {
        Ok(Ok(reply)) => Some(reply),
        Ok(Err(_)) | Err(_) => None,
    };
    drop(turn);
    let outcome = match reply {
        None => "unanswered",
        Some(PromptTurn { is_full: true, .. }) => "refused",
        Some(PromptTurn { delay_ms: 0, .. }) => "at_once",
        Some(_) => "delayed",
    };
    entry.metrics.count(Metric::PromptTurns, &[("outcome", outcome)]);
    if let Some(reply) = reply {
        apply_turn(entry, request, attempt.server(), reply);
        if reply.is_full {
            return false;
        }
        let delay_ms = reply.delay_ms.min(request.remaining_ms(now) / 2);
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }
    attempt.on_turn();
    true
}

/// Records what an agent's response says about its engine.
fn apply_turn<D: Dialect>(
    entry: &Entry<D>,
    request: &CallerRequest,
    server: &ServerId,
    reply: PromptTurn,
) {
    let now = entry.now();
    let state = &mut *entry.state.borrow_mut();
    if reply.is_full {
        state.fleet.on_turn_refused(now, server, &request.demand);
    } else if reply.delay_ms > 0 {
        state.fleet.on_turn_delayed(now, server, reply.delay_ms);
    }
    if !reply.is_adapter_hot {
        return;
    }
    let Some(deployment) = state.deployment.get() else { return };
    let service = deployment.services.get(&request.service);
    if let Some(engine_spec) = service.and_then(|service| service.engine.as_ref()) {
        state.queue.want_early_copy(now, &state.fleet, &request.demand, engine_spec);
    }
}

/// Applies an agent's response.
pub(super) fn on_turn_reply<D: Dialect>(entry: &Entry<D>, turn: u64, reply: PromptTurn) {
    if let Some(waiting) = entry.state.borrow_mut().turns.replies.remove(&turn) {
        // This fails only if the caller has disconnected.
        let _ = waiting.send(reply);
    }
}

/// Forgets a question when it is dropped.
struct OpenTurn<'a, D: Dialect> {
    entry: &'a Rc<Entry<D>>,
    turn: u64,
}

impl<D: Dialect> Drop for OpenTurn<'_, D> {
    fn drop(&mut self) {
        self.entry.state.borrow_mut().turns.replies.remove(&self.turn);
    }
}
