//! The decision at the door.

use std::collections::HashMap;

use filbertcleat_base::Class;
use filbertcleat_base::Fault;
use filbertcleat_base::Step;
use filbertcleat_config::Limits;

use crate::Refusal;
use crate::Target;

/// Counts the requests that an entry holds and refuses those over the limits.
#[derive(Clone, Debug)]
pub struct Admission {
    limits: Limits,
    held: u32,
    by_target: HashMap<Target, u32>,
}

impl Admission {
    /// The least time after which a refused caller may come back.
    const RETRY_AFTER_MIN_MS: u64 = 1000;

    /// Creates the counts with their limits.
    pub fn new(limits: Limits) -> Self {
        Self { limits, held: 0, by_target: HashMap::new() }
    }

    /// Changes the limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns the number of requests held.
    pub fn in_flight(&self) -> u32 {
        self.held
    }

    /// Accepts a request, or refuses it with the time to come back.
    ///
    /// The lowest class is refused first. An adapter that fills its share is refused alone, but
    /// only once the entry is half full, so that a quiet system serves a burst for one adapter.
    pub fn admit(&mut self, class: Class, target: &Target, call_ms: u64) -> Result<(), Refusal> {
        let whole = self.limits.waiting_max;
        let class_max = match class {
            Class::KeyAccount => whole,
            Class::Routine => share(whole, self.limits.routine_share_percent),
        };
        if self.held >= class_max {
            return Err(refusal("entry holds too many requests", call_ms));
        }

        let adapter_max = share(whole, self.limits.adapter_share_percent);
        let count = self.by_target.get(target).copied().unwrap_or(0);
        if count >= adapter_max && self.held >= whole / 2 && target.adapter().is_some() {
            return Err(refusal("adapter has too many requests waiting", call_ms));
        }

        self.held += 1;
        *self.by_target.entry(target.clone()).or_default() += 1;
        Ok(())
    }

    /// Forgets a request that was accepted.
    pub fn release(&mut self, target: &Target) {
        self.held = self.held.saturating_sub(1);
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
    Refusal::not_run(fault, Some(call_ms.max(Admission::RETRY_AFTER_MIN_MS)))
}

fn share(whole: u32, percent: u8) -> u32 {
    (u64::from(whole) * u64::from(percent) / 100).max(1) as u32
}
