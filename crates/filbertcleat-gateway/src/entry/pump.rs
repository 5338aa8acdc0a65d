//! Sending waiting requests on their way.

use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::MonoTime;
use filbertcleat_serve::RequestDemand;
use filbertcleat_serve::RequestQueue;

use super::open::OpenSend;
use super::state::Entry;
use super::tell::tell_agents;
use crate::Dialect;

/// How long the queue may go without a look at the time: room for prompts comes with time alone.
const LOOK: Duration = Duration::from_millis(15);
/// The same while a request waits for its turn, which comes within tens of milliseconds.
const LOOK_TURNS: Duration = Duration::from_millis(3);
/// The same while no request waits: agents have to hear of the entry now and then.
const LOOK_IDLE: Duration = Duration::from_millis(100);

/// Sends waiting requests on their way whenever something has changed.
pub(super) async fn pump<D: Dialect>(entry: Rc<Entry<D>>) {
    loop {
        let look = look(&entry.state.borrow().queue);
        // A look is due after the time, with or without a change.
        let _ = tokio::time::timeout(look, entry.changed.notified()).await;
        let now = entry.now();
        send_waiting(&entry, now);
        tell_agents(&entry);
    }
}

fn look(queue: &RequestQueue) -> Duration {
    if queue.has_jittered_requests() {
        LOOK_TURNS
    } else if queue.is_empty() {
        LOOK_IDLE
    } else {
        LOOK
    }
}

fn send_waiting<D: Dialect>(entry: &Rc<Entry<D>>, now: MonoTime) {
    let mut unsent = Vec::new();
    {
        let state = &mut *entry.state.borrow_mut();
        state.fleet.expire_unlisted(now);
        let Some(deployment) = state.deployment.clone() else { return };
        let shape =
            |demand: &RequestDemand| deployment.services.get(&demand.service)?.engine.as_ref();
        let home = &entry.settings.domain;
        for (ticket, server, demand) in state.queue.dispatch(now, &mut state.fleet, home, shape) {
            let open = OpenSend::counted(entry, server, demand);
            unsent.push(match state.waiting.remove(&ticket) {
                Some(waiting) => waiting.send(open).err(),
                None => Some(open),
            });
        }
    }
    // What nobody waits for any more is counted off, which needs the state.
    drop(unsent);
}
