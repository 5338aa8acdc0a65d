//! The part of an attempt that the fleet counts.

use std::cell::Cell;
use std::rc::Rc;

use filbertcleat_base::MonoTime;
use filbertcleat_serve::AttemptOutcome;
use filbertcleat_serve::RequestDemand;
use filbertcleat_serve::ServerId;

use super::crashes::on_abandoned;
use super::crashes::on_broken_early;
use super::crashes::on_request_answered;
use super::state::Entry;
use crate::Dialect;
use crate::metrics::Metric;

/// An attempt that the fleet counts as in flight at a backend server until it has ended.
///
/// If its caller leaves, the attempt is in flight for as long as its answer is awaited.
pub(super) struct CountedAttempt<D: Dialect> {
    pub entry: Rc<Entry<D>>,
    pub server: ServerId,
    pub demand: RequestDemand,
    pub sent_at: Cell<MonoTime>,
    /// Whether the answer has shown that its request does not crash the server.
    is_sound: Cell<bool>,
    has_ended: Cell<bool>,
    is_cancelled: Cell<bool>,
}

impl<D: Dialect> CountedAttempt<D> {
    /// Creates the counted part of an attempt that the fleet already counts.
    pub fn new(entry: &Rc<Entry<D>>, server: ServerId, demand: RequestDemand) -> Self {
        Self {
            entry: Rc::clone(entry),
            server,
            demand,
            sent_at: Cell::new(entry.now()),
            is_sound: Cell::new(false),
            has_ended: Cell::new(false),
            is_cancelled: Cell::new(false),
        }
    }

    /// Records that the answer shows the request to be sound.
    pub fn on_sound(&self) {
        if !self.is_sound.replace(true) {
            on_request_answered(&self.entry, &self.demand.crash_suspects);
        }
    }

    /// Returns whether the answer has shown that its request does not crash the server.
    pub fn is_sound(&self) -> bool {
        self.is_sound.get()
    }

    /// Records that the server broke off the request.
    pub fn on_broken(&self) {
        if !self.is_sound() {
            let suspects = &self.demand.crash_suspects;
            on_broken_early(&self.entry, &self.server, suspects, self.run_ms());
        }
    }

    /// Records that the rest of the answer is not read any more.
    pub fn on_abandoned(&self) {
        if !self.is_sound() {
            let suspects = &self.demand.crash_suspects;
            on_abandoned(&self.entry, &self.server, suspects, self.run_ms());
        }
    }

    /// Records that the answer is to be awaited only briefly once the caller of the attempt drops it.
    pub fn cancel(&self) {
        self.is_cancelled.set(true);
    }

    /// Returns whether the attempt was cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.is_cancelled.get()
    }

    fn run_ms(&self) -> u64 {
        self.entry.now().ms_since(self.sent_at.get())
    }

    /// Records that the attempt was never sent, and that the fleet counts it no more.
    pub fn end_unsent(&self) {
        self.has_ended.set(true);
    }

    /// Ends the attempt with the given outcome, unless it has ended.
    pub fn end(&self, outcome: AttemptOutcome) {
        if self.has_ended.replace(true) {
            return;
        }
        if outcome == AttemptOutcome::Broken {
            self.on_broken();
        }
        let now = self.entry.now();
        let fleet = &mut self.entry.state.borrow_mut().fleet;
        if outcome == AttemptOutcome::Answered {
            fleet.on_plain_answered(now, &self.server, &self.demand, self.sent_at.get());
        }
        fleet.on_ended(now, &self.server, &self.demand, outcome);
        let outcome = match outcome {
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

impl<D: Dialect> Drop for CountedAttempt<D> {
    fn drop(&mut self) {
        self.end(AttemptOutcome::Left);
    }
}
