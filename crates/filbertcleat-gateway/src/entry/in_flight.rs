//! Guards of in-flight and queued requests.

use std::rc::Rc;

use filbertcleat_base::MonoTime;
use filbertcleat_serve::AttemptOutcome;
use filbertcleat_serve::RequestDemand;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::Ticket;
use filbertcleat_serve::WaitCause;

use super::counted_attempt::CountedAttempt;
use super::state::Entry;
use super::state::State;
use crate::Dialect;
use crate::metrics::Metric;

/// An attempt whose outcome is awaited; it counts as abandoned when this guard is dropped.
pub(super) struct InFlightAttempt<D: Dialect> {
    counted: Rc<CountedAttempt<D>>,
    /// The time that the server needs for the prompts ahead of this one.
    backlog_ms: f64,
    /// When the request left the queue, before its wait for a turn.
    dispatched_at: MonoTime,
    first_bytes_at: Option<MonoTime>,
    last_bytes_at: Option<MonoTime>,
}

impl<D: Dialect> InFlightAttempt<D> {
    /// The time from the first bytes of an answer in which its request may still crash the server:
    /// that of several decoding steps, and of the bytes on their way.
    const CRASH_WINDOW_MS: u64 = 250;

    /// Creates the guard for an attempt that the fleet already counts.
    pub fn new(
        entry: &Rc<Entry<D>>,
        server: ServerId,
        demand: RequestDemand,
        backlog_ms: f64,
    ) -> Self {
        let dispatched_at = entry.now();
        let counted = Rc::new(CountedAttempt::new(entry, server, demand));
        Self { counted, backlog_ms, dispatched_at, first_bytes_at: None, last_bytes_at: None }
    }

    /// Returns the backend server that the attempt was sent to.
    pub fn server(&self) -> &ServerId {
        &self.counted.server
    }

    /// Returns the part that the fleet counts, which may outlive this guard.
    pub fn counted(&self) -> &Rc<CountedAttempt<D>> {
        &self.counted
    }

    /// Returns the time that the server was expected to need for the prompts ahead of this one.
    pub fn backlog_ms(&self) -> f64 {
        self.backlog_ms
    }

    /// Records that the request is sent now, after its wait for a turn. The engine has meanwhile read
    /// some of the prompts ahead.
    pub fn on_turn(&mut self) {
        let now = self.counted.entry.now();
        let waited_ms = now.ms_since(self.counted.sent_at.replace(now));
        self.backlog_ms = (self.backlog_ms - waited_ms as f64).max(0.0);
    }

    /// Records that bytes of the response have arrived.
    pub fn on_response_bytes(&mut self) {
        let now = self.counted.entry.now();
        self.record_bytes(now);
        let first_bytes_at = *self.first_bytes_at.get_or_insert(now);
        if now.ms_since(first_bytes_at) >= Self::CRASH_WINDOW_MS {
            self.counted.on_sound();
        }
    }

    /// Ends the attempt after a complete answer.
    pub fn end_complete(self) {
        self.counted.on_sound();
        self.end(AttemptOutcome::Answered);
    }

    /// Ends an attempt that an agent had no room for, and that the fleet counts no more.
    pub fn end_unsent(self) {
        self.counted.end_unsent();
    }

    /// Ends the attempt with the given outcome.
    pub fn end(self, outcome: AttemptOutcome) {
        self.counted.end(outcome);
    }

    fn record_bytes(&mut self, now: MonoTime) {
        let CountedAttempt { entry, server, demand, sent_at, .. } = &*self.counted;
        let State { fleet, queue, .. } = &mut *entry.state.borrow_mut();
        if let Some(last) = self.last_bytes_at.replace(now) {
            fleet.on_bytes_received(now, server, demand, now.ms_since(last));
        } else {
            let wait_ms = now.ms_since(sent_at.get());
            fleet.on_response_started(now, server, demand, wait_ms, self.backlog_ms);
            queue.on_response_started(fleet, demand, now.ms_since(self.dispatched_at));
            if demand.prompt_tokens > 0 {
                entry.metrics.sample(Metric::TimeFromAttemptToFirstEvent, wait_ms);
            }
        }
    }
}

/// Removes its request from the queue when it is dropped.
pub(super) struct QueueGuard<D: Dialect> {
    pub entry: Rc<Entry<D>>,
    pub ticket: Ticket,
}

impl<D: Dialect> QueueGuard<D> {
    /// Removes the request and returns what it was waiting for, and at which backend server.
    pub fn remove(&self) -> Option<(WaitCause, Option<ServerId>)> {
        let state = &mut *self.entry.state.borrow_mut();
        state.placements.remove(&self.ticket);
        state.queue.remove(self.entry.now(), self.ticket)
    }

    /// Returns what the request is waiting for.
    pub fn wait_cause(&self) -> Option<WaitCause> {
        self.entry.state.borrow().queue.wait_cause(self.ticket)
    }
}

impl<D: Dialect> Drop for QueueGuard<D> {
    fn drop(&mut self) {
        self.remove();
    }
}
