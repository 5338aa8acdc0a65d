//! The lease on a backend server.

mod row;
mod settings;

use filbertcleat_base::Fence;
use filbertcleat_base::MonoTime;

pub use self::row::LeaseRow;
pub use self::settings::LeaseSettings;
use crate::Ownership;
use crate::Precondition;
use crate::TableOp;
use crate::TableResult;

/// Holds a lease in the table service for one process.
///
/// Durations are counted on the process's own clock: a holder counts from before its write was
/// sent, and a rival from when it first saw the row unchanged. So the holder's time always ends
/// before a rival's does, whatever the clocks say.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Lease {
    settings: LeaseSettings,
    asked: Option<Asked>,
    next_at: MonoTime,
    held: Option<Held>,
    seen: Option<Seen>,
    lost: bool,
}

impl Lease {
    /// Creates a lease that is not held yet.
    pub fn new(settings: LeaseSettings) -> Self {
        Self { settings, asked: None, next_at: MonoTime::ZERO, held: None, seen: None, lost: false }
    }

    /// Returns the next operation, if one is due.
    pub fn poll(&mut self, now: MonoTime) -> Option<TableOp> {
        if self.asked.is_some() || now < self.next_at || self.lost {
            return None;
        }

        let op = match (&self.held, &self.seen) {
            (Some(held), _) => self.write(Precondition::Revision(held.revision), held.fence),
            (None, Some(seen)) if self.may_take(now, seen) => {
                self.write(Precondition::Revision(seen.revision), seen.fence.next())
            }
            (None, _) => TableOp::Read { key: self.settings.key.clone() },
        };
        let fence = match (&op, &self.held, &self.seen) {
            (TableOp::Write { .. }, Some(held), _) => held.fence,
            (TableOp::Write { .. }, None, Some(seen)) => seen.fence.next(),
            _ => Fence::default(),
        };
        self.asked = Some(Asked { sent: now, fence, writes: op.is_write() });
        Some(op)
    }

    /// Takes in the result of the last operation.
    pub fn on_result(&mut self, now: MonoTime, result: &TableResult) -> LeaseStep {
        let Some(asked) = self.asked.take() else {
            return LeaseStep::Unchanged;
        };
        match result {
            TableResult::Written { revision } => self.written(&asked, *revision),
            TableResult::Conflict | TableResult::UnknownOutcome if asked.writes => {
                // The row tells whether the write took effect.
                self.ask_back(now, &asked)
            }
            TableResult::NotFound => {
                self.seen = None;
                self.create(now)
            }
            TableResult::Found { revision, value } => self.found(now, *revision, value),
            TableResult::Conflict | TableResult::UnknownOutcome | TableResult::Unavailable => {
                self.next_at = now.plus_ms(self.settings.retry_ms);
                LeaseStep::Unchanged
            }
        }
    }

    /// Returns what is known of the ownership.
    ///
    /// The holder's time ends `margin_ms` before the lease does.
    pub fn ownership(&self, now: MonoTime) -> Ownership {
        if self.lost {
            return Ownership::Lost;
        }
        match &self.held {
            None => Ownership::None,
            Some(held) if now.plus_ms(self.settings.margin_ms) < held.until => {
                Ownership::Held(held.fence)
            }
            Some(held) => Ownership::Lapsed(held.fence),
        }
    }

    /// Takes the lease as lapsed, because the process was paused for longer than the margin.
    pub fn expire(&mut self, now: MonoTime) {
        if let Some(held) = &mut self.held {
            held.until = now;
        }
        self.next_at = now;
    }

    /// Returns the operation that gives the lease back at a planned stop.
    pub fn release(&mut self) -> Option<TableOp> {
        let held = self.held.take()?;
        self.lost = true;
        let row = LeaseRow {
            holder: self.settings.holder.clone(),
            fence: held.fence,
            lease_ms: self.settings.lease_ms,
            released: true,
        };
        Some(TableOp::Write {
            key: self.settings.key.clone(),
            precondition: Precondition::Revision(held.revision),
            value: row.to_json(),
        })
    }

    fn written(&mut self, asked: &Asked, revision: u64) -> LeaseStep {
        let until = asked.sent.plus_ms(self.settings.lease_ms);
        let fresh = self.held.as_ref().is_none_or(|held| held.fence != asked.fence);
        self.held = Some(Held { fence: asked.fence, revision, until });
        self.seen = None;
        self.next_at = asked.sent.plus_ms(self.settings.lease_ms / 3);
        if fresh { LeaseStep::Acquired(asked.fence) } else { LeaseStep::Renewed }
    }

    /// Asks for the row after a write of unknown outcome.
    fn ask_back(&mut self, now: MonoTime, asked: &Asked) -> LeaseStep {
        self.asked = Some(Asked { sent: now, fence: asked.fence, writes: false });
        LeaseStep::Execute(TableOp::Read { key: self.settings.key.clone() })
    }

    fn create(&mut self, now: MonoTime) -> LeaseStep {
        self.held = None;
        let fence = Fence::default().next();
        let op = self.write(Precondition::Absent, fence);
        self.asked = Some(Asked { sent: now, fence, writes: true });
        LeaseStep::Execute(op)
    }

    fn found(&mut self, now: MonoTime, revision: u64, value: &[u8]) -> LeaseStep {
        let Ok(row) = serde_json::from_slice::<LeaseRow>(value) else {
            // Nobody holds a row that can't be read, but its number is lost with it.
            self.next_at = now.plus_ms(self.settings.retry_ms);
            return LeaseStep::Unchanged;
        };

        if row.holder == self.settings.holder && !row.released {
            return self.found_mine(now, revision, row.fence);
        }
        if self.held.take().is_some() {
            self.lost = true;
            return LeaseStep::Lost;
        }
        let first_at = match &self.seen {
            Some(seen) if seen.revision == revision => seen.first_at,
            Some(_) | None => now,
        };
        let fence = row.fence;
        let free = row.released || self.settings.allows_preemption;
        self.seen = Some(Seen { revision, fence, first_at, lease_ms: row.lease_ms, free });
        let may_take = self.seen.as_ref().is_some_and(|seen| self.may_take(now, seen));
        self.next_at = if may_take { now } else { now.plus_ms(self.settings.retry_ms) };
        LeaseStep::Unchanged
    }

    /// Goes on from an own row, whose write's answer was lost.
    ///
    /// The time of that write is unknown by now, so the lease is written once more.
    fn found_mine(&mut self, now: MonoTime, revision: u64, fence: Fence) -> LeaseStep {
        let until = self.held.as_ref().map_or(MonoTime::ZERO, |held| held.until);
        self.held = Some(Held { fence, revision, until });
        let op = self.write(Precondition::Revision(revision), fence);
        self.asked = Some(Asked { sent: now, fence, writes: true });
        LeaseStep::Execute(op)
    }

    fn may_take(&self, now: MonoTime, seen: &Seen) -> bool {
        // An engine that ignores the number may get a last order up to `max_transit_ms` late.
        let wait_ms = seen.lease_ms + self.settings.max_transit_ms;
        seen.free || now.ms_since(seen.first_at) >= wait_ms
    }

    fn write(&self, precondition: Precondition, fence: Fence) -> TableOp {
        let row = LeaseRow {
            holder: self.settings.holder.clone(),
            fence,
            lease_ms: self.settings.lease_ms,
            released: false,
        };
        TableOp::Write { key: self.settings.key.clone(), precondition, value: row.to_json() }
    }
}

/// What a result means for the holder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Nothing has changed.
    Unchanged,
    /// Ask the table service at once.
    Execute(TableOp),
    /// The lease is held with a new fencing number.
    Acquired(Fence),
    /// The lease is held for longer.
    Renewed,
    /// Another process holds the lease.
    Lost,
}

/// An operation under way.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Asked {
    sent: MonoTime,
    fence: Fence,
    writes: bool,
}

/// A lease that is held, or was until it lapsed.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Held {
    fence: Fence,
    revision: u64,
    until: MonoTime,
}

/// Another holder's row.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Seen {
    revision: u64,
    fence: Fence,
    first_at: MonoTime,
    lease_ms: u64,
    free: bool,
}
