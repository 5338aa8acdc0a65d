//! Requests at backend servers.

use std::rc::Rc;

use filbertcleat_base::MonoTime;
use filbertcleat_serve::Demand;
use filbertcleat_serve::Ending;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::Ticket;
use filbertcleat_serve::WaitCause;

use super::state::Entry;
use crate::Dialect;
use crate::metrics::Metric;

/// A request that is counted at a backend server, until it is dropped.
pub(super) struct OpenSend<D: Dialect> {
    entry: Rc<Entry<D>>,
    server: ServerId,
    demand: Demand,
    sent: MonoTime,
    has_started: bool,
    ending: Ending,
}

impl<D: Dialect> OpenSend<D> {
    /// Takes charge of a request that the fleet counts already.
    pub fn counted(entry: &Rc<Entry<D>>, server: ServerId, demand: Demand) -> Self {
        let sent = entry.now();
        let entry = Rc::clone(entry);
        Self { entry, server, demand, sent, has_started: false, ending: Ending::Left }
    }

    /// Returns the backend server.
    pub fn server(&self) -> &ServerId {
        &self.server
    }

    /// Notes that bytes of the answer came.
    pub fn hears(&mut self) {
        let now = self.entry.now();
        let fleet = &mut self.entry.state.borrow_mut().fleet;
        if self.has_started {
            fleet.heard(now, &self.server);
        } else {
            self.has_started = true;
            let wait_ms = now.ms_since(self.sent);
            fleet.started(now, &self.server, &self.demand, wait_ms);
            if self.demand.prompt_tokens > 0 {
                self.entry.metrics.sample(Metric::TimeFromAttemptToFirstEvent, wait_ms);
            }
        }
    }

    /// Ends the request.
    pub fn end(mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl<D: Dialect> Drop for OpenSend<D> {
    fn drop(&mut self) {
        let now = self.entry.now();
        let fleet = &mut self.entry.state.borrow_mut().fleet;
        fleet.ended(now, &self.server, &self.demand, self.ending);
        let ending = match self.ending {
            Ending::Answered => "answered",
            Ending::Failed => "failed",
            Ending::Full => "full",
            Ending::Lacking => "lacking",
            Ending::Misdirected => "misdirected",
            Ending::Unreachable => "unreachable",
            Ending::Broken => "broken",
            Ending::Silent => "silent",
            Ending::Left => "left",
        };
        self.entry.metrics.count(Metric::Attempts, &[("ending", ending)]);
        self.entry.changed.notify_one();
    }
}

/// A request in the queue, until it is dropped.
pub(super) struct Queued<D: Dialect> {
    pub entry: Rc<Entry<D>>,
    pub ticket: Ticket,
}

impl<D: Dialect> Queued<D> {
    /// Takes the request out and returns what it waited for.
    pub fn leave(&self) -> Option<(WaitCause, Option<ServerId>)> {
        let state = &mut *self.entry.state.borrow_mut();
        state.waiting.remove(&self.ticket);
        state.queue.leave(self.ticket)
    }

    /// Returns what the request waits for.
    pub fn cause(&self) -> Option<WaitCause> {
        self.entry.state.borrow().queue.cause(self.ticket)
    }
}

impl<D: Dialect> Drop for Queued<D> {
    fn drop(&mut self) {
        self.leave();
    }
}
