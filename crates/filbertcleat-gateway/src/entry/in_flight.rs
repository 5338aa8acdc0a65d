//! Guards that keep the counts of in-flight and queued requests correct.

use std::rc::Rc;

use filbertcleat_base::MonoTime;
use filbertcleat_serve::AttemptOutcome;
use filbertcleat_serve::RequestDemand;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::Ticket;
use filbertcleat_serve::WaitCause;

use super::crashes::on_broken_early;
use super::crashes::on_request_answered;
use super::state::Entry;
use crate::Dialect;
use crate::metrics::Metric;

/// An attempt that the fleet counts as in flight at a backend server until this guard is dropped.
pub(super) struct InFlightAttempt<D: Dialect> {
    entry: Rc<Entry<D>>,
    server: ServerId,
    demand: RequestDemand,
    sent_at: MonoTime,
    /// The time that the server needs for the prompts ahead of this one.
    backlog_ms: f64,
    first_bytes_at: Option<MonoTime>,
    last_bytes_at: Option<MonoTime>,
    /// Whether the answer has shown that its request does not crash the server.
    is_sound: bool,
    outcome: AttemptOutcome,
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
        let sent_at = entry.now();
        let entry = Rc::clone(entry);
        Self {
            entry,
            server,
            demand,
            sent_at,
            backlog_ms,
            first_bytes_at: None,
            last_bytes_at: None,
            is_sound: false,
            outcome: AttemptOutcome::Left,
        }
    }

    /// Returns the backend server that the attempt was sent to.
    pub fn server(&self) -> &ServerId {
        &self.server
    }

    /// Returns the time that the server was expected to need for the prompts ahead of this one.
    pub fn backlog_ms(&self) -> f64 {
        self.backlog_ms
    }

    /// Records that bytes of the response have arrived.
    pub fn on_response_bytes(&mut self) {
        let now = self.entry.now();
        self.record_bytes(now);
        let first_bytes_at = *self.first_bytes_at.get_or_insert(now);
        if now.ms_since(first_bytes_at) >= Self::CRASH_WINDOW_MS {
            self.on_sound();
        }
    }

    /// Ends the attempt after a complete answer.
    pub fn end_complete(mut self) {
        self.on_sound();
        self.end(AttemptOutcome::Answered);
    }

    /// Ends the attempt with the given outcome; a guard dropped without one counts as abandoned.
    pub fn end(mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }

    fn record_bytes(&mut self, now: MonoTime) {
        let fleet = &mut self.entry.state.borrow_mut().fleet;
        if let Some(last) = self.last_bytes_at.replace(now) {
            fleet.on_bytes_received(now, &self.server, &self.demand, now.ms_since(last));
        } else {
            let wait_ms = now.ms_since(self.sent_at);
            let backlog_ms = self.backlog_ms;
            fleet.on_response_started(now, &self.server, &self.demand, wait_ms, backlog_ms);
            if self.demand.prompt_tokens > 0 {
                self.entry.metrics.sample(Metric::TimeFromAttemptToFirstEvent, wait_ms);
            }
        }
    }

    fn on_sound(&mut self) {
        if !self.is_sound {
            self.is_sound = true;
            on_request_answered(&self.entry, &self.demand.crash_suspects);
        }
    }
}

impl<D: Dialect> Drop for InFlightAttempt<D> {
    fn drop(&mut self) {
        let now = self.entry.now();
        if self.outcome == AttemptOutcome::Broken && !self.is_sound {
            let run_ms = now.ms_since(self.sent_at);
            on_broken_early(&self.entry, &self.server, &self.demand.crash_suspects, run_ms);
        }
        let fleet = &mut self.entry.state.borrow_mut().fleet;
        fleet.on_ended(now, &self.server, &self.demand, self.outcome);
        let outcome = match self.outcome {
            AttemptOutcome::Answered => "answered",
            AttemptOutcome::Failed => "failed",
            AttemptOutcome::Full => "full",
            AttemptOutcome::Lacking => "lacking",
            AttemptOutcome::Misdirected => "misdirected",
            AttemptOutcome::Unreachable => "unreachable",
            AttemptOutcome::Broken => "broken",
            AttemptOutcome::Silent => "silent",
            AttemptOutcome::Paused => "paused",
            AttemptOutcome::Left => "left",
        };
        self.entry.metrics.count(Metric::Attempts, &[("ending", outcome)]);
        self.entry.dispatcher_wakeup.notify_one();
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
