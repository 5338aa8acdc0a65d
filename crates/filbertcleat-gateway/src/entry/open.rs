//! Requests at backend servers.

use std::rc::Rc;

use filbertcleat_base::MonoTime;
use filbertcleat_serve::RequestDemand;
use filbertcleat_serve::SendOutcome;
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
    demand: RequestDemand,
    sent: MonoTime,
    has_started: bool,
    ending: SendOutcome,
}

impl<D: Dialect> OpenSend<D> {
    /// Takes charge of a request that the fleet counts already.
    pub fn counted(entry: &Rc<Entry<D>>, server: ServerId, demand: RequestDemand) -> Self {
        let sent = entry.now();
        let entry = Rc::clone(entry);
        Self { entry, server, demand, sent, has_started: false, ending: SendOutcome::Left }
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
            fleet.on_bytes_received(now, &self.server);
        } else {
            self.has_started = true;
            let wait_ms = now.ms_since(self.sent);
            fleet.on_answer_started(now, &self.server, &self.demand, wait_ms);
            if self.demand.prompt_tokens > 0 {
                self.entry.metrics.sample(Metric::TimeFromAttemptToFirstEvent, wait_ms);
            }
        }
    }

    /// Ends the request.
    pub fn end(mut self, ending: SendOutcome) {
        self.ending = ending;
    }
}

impl<D: Dialect> Drop for OpenSend<D> {
    fn drop(&mut self) {
        let now = self.entry.now();
        let fleet = &mut self.entry.state.borrow_mut().fleet;
        fleet.on_ended(now, &self.server, &self.demand, self.ending);
        let ending = match self.ending {
            SendOutcome::Answered => "answered",
            SendOutcome::Failed => "failed",
            SendOutcome::Full => "full",
            SendOutcome::Lacking => "lacking",
            SendOutcome::Misdirected => "misdirected",
            SendOutcome::Unreachable => "unreachable",
            SendOutcome::Broken => "broken",
            SendOutcome::Silent => "silent",
            SendOutcome::Left => "left",
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
        state.queue.remove(self.ticket)
    }

    /// Returns what the request waits for.
    pub fn cause(&self) -> Option<WaitCause> {
        self.entry.state.borrow().queue.wait_cause(self.ticket)
    }
}

impl<D: Dialect> Drop for Queued<D> {
    fn drop(&mut self) {
        self.leave();
    }
}
