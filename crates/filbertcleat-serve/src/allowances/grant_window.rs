//! What a bucket has granted recently.

use std::collections::VecDeque;

use filbertcleat_base::MonoTime;

/// What a bucket has granted recently, in slots of time.
///
/// Returned tokens are subtracted where they were granted, so that the sum never counts less than
/// entries may have spent.
#[derive(Clone, Debug, Default)]
pub(super) struct GrantWindow {
    /// The number of each slot that has grants, and what it granted, oldest first.
    slots: VecDeque<(u64, f64)>,
}

impl GrantWindow {
    /// The length of a slot. A window counts up to one slot more than its length, for which the
    /// margin has to have room.
    const SLOT_MS: u64 = 100;

    /// Adds a grant.
    pub fn add(&mut self, now: MonoTime, amount: f64) {
        let slot = slot_of(now);
        match self.slots.back_mut() {
            Some((last, sum)) if *last == slot => *sum += amount,
            _ => self.slots.push_back((slot, amount)),
        }
    }

    /// Subtracts tokens that were granted at `granted_at`.
    pub fn subtract(&mut self, granted_at: MonoTime, amount: f64) {
        let slot = slot_of(granted_at);
        if let Some((_, sum)) = self.slots.iter_mut().find(|(known, _)| *known == slot) {
            *sum -= amount;
        }
    }

    /// Multiplies all grants by a factor.
    pub fn scale(&mut self, factor: f64) {
        self.slots.iter_mut().for_each(|(_, sum)| *sum *= factor);
    }

    /// Returns what the remembered slots granted.
    pub fn total(&self) -> f64 {
        self.slots.iter().map(|(_, sum)| sum).sum()
    }

    /// Returns what was granted within the last `span_ms`, or slightly before.
    pub fn sum(&mut self, now: MonoTime, span_ms: u64) -> f64 {
        let oldest = slot_of(now).saturating_sub(span_ms.div_ceil(Self::SLOT_MS));
        while self.slots.front().is_some_and(|(slot, _)| *slot < oldest) {
            self.slots.pop_front();
        }
        self.total()
    }

    /// Returns the time until `sum` has fallen by `amount`.
    pub fn wait_ms(&self, now: MonoTime, span_ms: u64, amount: f64) -> u64 {
        let mut left = amount;
        for (slot, sum) in &self.slots {
            left -= sum;
            if left <= 0.0 {
                let ends = (slot + span_ms.div_ceil(Self::SLOT_MS) + 1) * Self::SLOT_MS;
                return ends.saturating_sub(now.as_ms());
            }
        }
        span_ms
    }
}

fn slot_of(at: MonoTime) -> u64 {
    at.as_ms() / GrantWindow::SLOT_MS
}
