//! Admission control of an entry.

use std::collections::HashMap;

use filbertcleat_base::Class;
use filbertcleat_base::Fault;
use filbertcleat_base::Step;
use filbertcleat_config::Limits;

use crate::Refusal;
use crate::Target;

/// Counts the requests in flight at an entry and refuses those that exceed the limits.
#[derive(Clone, Debug)]
pub struct Admission {
    limits: Limits,
    in_flight: u32,
    by_target: HashMap<Target, u32>,
}

impl Admission {
    /// The shortest time after which a refused caller may retry.
    const RETRY_AFTER_MIN_MS: u64 = 1000;

    /// Creates the admission control with no request in flight.
    pub fn new(limits: Limits) -> Self {
        Self { limits, in_flight: 0, by_target: HashMap::new() }
    }

    /// Sets the limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Admits a request, or returns a refusal with the time to retry.
    ///
    /// Routine requests have the lower limit and are refused first. An adapter that exceeds its
    /// share is refused only once half of the limit is in use, so that an idle entry accepts a
    /// burst for a single adapter.
    pub fn admit(&mut self, class: Class, target: &Target, call_ms: u64) -> Result<(), Refusal> {
        let request_max = self.limits.waiting_max;
        let class_max = match class {
            Class::KeyAccount => request_max,
            Class::Routine => percent_of(request_max, self.limits.routine_share_percent),
        };
        if self.in_flight >= class_max {
            return Err(refusal("entry has too many requests in flight", call_ms));
        }

        let adapter_max = percent_of(request_max, self.limits.adapter_share_percent);
        let count = self.by_target.get(target).copied().unwrap_or(0);
        if count >= adapter_max && self.in_flight >= request_max / 2 && target.adapter().is_some() {
            return Err(refusal("adapter has too many requests in flight", call_ms));
        }

        self.in_flight += 1;
        *self.by_target.entry(target.clone()).or_default() += 1;
        Ok(())
    }

    /// Releases an admitted request.
    pub fn release(&mut self, target: &Target) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(count) = self.by_target.get_mut(target) {
            *count -= 1;
            if *count == 0 {
                self.by_target.remove(target);
            }
        }
    }
}

fn refusal(reason: &str, call_ms: u64) -> Refusal {
    let fault = Fault::new(Step::Admit, "entry", reason);
    Refusal::not_executed(fault, Some(call_ms.max(Admission::RETRY_AFTER_MIN_MS)))
}

/// Returns `percent` of `whole`, but at least 1.
fn percent_of(whole: u32, percent: u8) -> u32 {
    (u64::from(whole) * u64::from(percent) / 100).max(1) as u32
}
