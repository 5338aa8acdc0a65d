//! What a request has been charged.

use std::cell::Cell;
use std::rc::Rc;

use filbertcleat_serve::AllowanceCharge;

use super::Allowances;

/// What a request has been charged. When it is dropped, the tokens go back if the request can't have
/// run.
#[derive(Debug)]
pub(in crate::entry) struct RequestCharge {
    allowances: Rc<Allowances>,
    charge: Option<AllowanceCharge>,
    /// The attempts at backend servers by which the request may have run.
    possible_runs: Cell<u32>,
}

impl RequestCharge {
    /// Creates the charge of a request that has not been sent.
    pub fn new(allowances: Rc<Allowances>, charge: AllowanceCharge) -> Self {
        Self { allowances, charge: Some(charge), possible_runs: Cell::new(0) }
    }

    /// Records that an attempt begins, by which the request may run.
    pub fn begin_run(&self) {
        self.possible_runs.set(self.possible_runs.get() + 1);
    }

    /// Records that the last attempt has ended and the request has not run by it.
    pub fn end_without_run(&self) {
        self.possible_runs.set(self.possible_runs.get().saturating_sub(1));
    }
}

impl Drop for RequestCharge {
    fn drop(&mut self) {
        let charge = self.charge.take().filter(|_| self.possible_runs.get() == 0);
        if let Some(charge) = charge {
            let now = self.allowances.clock.now();
            self.allowances.ledger.borrow_mut().give_back(now, charge);
            self.allowances.changed.notify_one();
        }
    }
}
