//! Leases on backend servers.

mod row;
mod settings;

use filbertcleat_base::FencingToken;
use filbertcleat_base::MonoTime;

pub use self::row::LeaseRow;
pub use self::settings::LeaseSettings;
use crate::Ownership;
use crate::Precondition;
use crate::TableOp;
use crate::TableResult;

/// Acquires and renews a lease in the table service for one process.
///
/// Each process measures durations on its own monotonic clock: the holder counts from before it
/// sent its last write, and a rival counts from when it first observed the current revision of the
/// row. So the lease always ends for the holder before a rival can acquire it, regardless of clock
/// offsets.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Lease {
    settings: LeaseSettings,
    pending: Option<PendingOp>,
    next_at: MonoTime,
    held: Option<HeldLease>,
    observed: Option<ObservedRow>,
    is_lost: bool,
}

impl Lease {
    /// Creates a lease that has not been acquired yet.
    pub fn new(settings: LeaseSettings) -> Self {
        Self {
            settings,
            pending: None,
            next_at: MonoTime::ZERO,
            held: None,
            observed: None,
            is_lost: false,
        }
    }

    /// Returns the next table operation, if one is due.
    pub fn poll(&mut self, now: MonoTime) -> Option<TableOp> {
        if self.pending.is_some() || now < self.next_at || self.is_lost {
            return None;
        }

        let op = match (&self.held, &self.observed) {
            (Some(held), _) => self.write(Precondition::Revision(held.revision), held.fence),
            (None, Some(observed)) if self.may_acquire(now, observed) => {
                self.write(Precondition::Revision(observed.revision), observed.fence.next())
            }
            (None, _) => TableOp::Read { key: self.settings.key.clone() },
        };
        let fence = match (&op, &self.held, &self.observed) {
            (TableOp::Write { .. }, Some(held), _) => held.fence,
            (TableOp::Write { .. }, None, Some(observed)) => observed.fence.next(),
            _ => FencingToken::default(),
        };
        self.pending = Some(PendingOp { sent_at: now, fence, is_write: op.is_write() });
        Some(op)
    }

    /// Handles the result of the last operation.
    pub fn on_result(&mut self, now: MonoTime, result: &TableResult) -> LeaseStep {
        let Some(pending) = self.pending.take() else {
            return LeaseStep::Unchanged;
        };
        match result {
            TableResult::Written { revision } => self.on_written(&pending, *revision),
            TableResult::Conflict | TableResult::UnknownOutcome if pending.is_write => {
                // Reading the row back shows whether the write took effect.
                self.read_back(now, &pending)
            }
            TableResult::NotFound => {
                self.observed = None;
                self.create_row(now)
            }
            TableResult::Found { revision, value } => self.on_found(now, *revision, value),
            TableResult::Conflict | TableResult::UnknownOutcome | TableResult::Unavailable => {
                self.next_at = now.plus_ms(self.settings.retry_ms);
                LeaseStep::Unchanged
            }
        }
    }

    /// Returns the current ownership.
    ///
    /// The holder treats the lease as lapsed `margin_ms` before it ends.
    pub fn ownership(&self, now: MonoTime) -> Ownership {
        if self.is_lost {
            return Ownership::Lost;
        }
        match &self.held {
            None => Ownership::None,
            Some(held) if now.plus_ms(self.settings.margin_ms) < held.valid_until => {
                Ownership::Held(held.fence)
            }
            Some(held) => Ownership::Lapsed(held.fence),
        }
    }

    /// Marks the lease as lapsed after the process was paused for longer than the margin.
    pub fn expire(&mut self, now: MonoTime) {
        if let Some(held) = &mut self.held {
            held.valid_until = now;
        }
        self.next_at = now;
    }

    /// Returns the operation that releases the lease during a graceful shutdown.
    pub fn release(&mut self) -> Option<TableOp> {
        let held = self.held.take()?;
        self.is_lost = true;
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

    fn on_written(&mut self, pending: &PendingOp, revision: u64) -> LeaseStep {
        let valid_until = pending.sent_at.plus_ms(self.settings.lease_ms);
        let is_new = self.held.as_ref().is_none_or(|held| held.fence != pending.fence);
        self.held = Some(HeldLease { fence: pending.fence, revision, valid_until });
        self.observed = None;
        self.next_at = pending.sent_at.plus_ms(self.settings.lease_ms / 3);
        if is_new { LeaseStep::Acquired(pending.fence) } else { LeaseStep::Renewed }
    }

    /// Reads the row after a write that may not have taken effect.
    fn read_back(&mut self, now: MonoTime, pending: &PendingOp) -> LeaseStep {
        self.pending = Some(PendingOp { sent_at: now, fence: pending.fence, is_write: false });
        LeaseStep::Execute(TableOp::Read { key: self.settings.key.clone() })
    }

    fn create_row(&mut self, now: MonoTime) -> LeaseStep {
        self.held = None;
        let fence = FencingToken::default().next();
        let op = self.write(Precondition::Absent, fence);
        self.pending = Some(PendingOp { sent_at: now, fence, is_write: true });
        LeaseStep::Execute(op)
    }

    fn on_found(&mut self, now: MonoTime, revision: u64, value: &[u8]) -> LeaseStep {
        let Ok(row) = serde_json::from_slice::<LeaseRow>(value) else {
            // Nobody holds an unreadable row, but its fencing token is lost, so that the next token
            // is unknown.
            self.next_at = now.plus_ms(self.settings.retry_ms);
            return LeaseStep::Unchanged;
        };

        if row.holder == self.settings.holder && !row.released {
            return self.on_own_row(now, revision, row.fence);
        }
        if self.held.take().is_some() {
            self.is_lost = true;
            return LeaseStep::Lost;
        }
        let first_seen_at = match &self.observed {
            Some(observed) if observed.revision == revision => observed.first_seen_at,
            Some(_) | None => now,
        };
        let fence = row.fence;
        let is_free = row.released || self.settings.allows_preemption;
        self.observed =
            Some(ObservedRow { revision, fence, first_seen_at, lease_ms: row.lease_ms, is_free });
        let may_acquire =
            self.observed.as_ref().is_some_and(|observed| self.may_acquire(now, observed));
        self.next_at = if may_acquire { now } else { now.plus_ms(self.settings.retry_ms) };
        LeaseStep::Unchanged
    }

    /// Continues from this process's own row after the answer to its write was lost.
    ///
    /// The time of that write is unknown, so the lease is written again.
    fn on_own_row(&mut self, now: MonoTime, revision: u64, fence: FencingToken) -> LeaseStep {
        let valid_until = self.held.as_ref().map_or(MonoTime::ZERO, |held| held.valid_until);
        self.held = Some(HeldLease { fence, revision, valid_until });
        let op = self.write(Precondition::Revision(revision), fence);
        self.pending = Some(PendingOp { sent_at: now, fence, is_write: true });
        LeaseStep::Execute(op)
    }

    fn may_acquire(&self, now: MonoTime, observed: &ObservedRow) -> bool {
        // An order from the previous holder may reach an engine that doesn't check fencing tokens
        // up to `max_transit_ms` after the lease has ended.
        let wait_ms = observed.lease_ms + self.settings.max_transit_ms;
        observed.is_free || now.ms_since(observed.first_seen_at) >= wait_ms
    }

    fn write(&self, precondition: Precondition, fence: FencingToken) -> TableOp {
        let row = LeaseRow {
            holder: self.settings.holder.clone(),
            fence,
            lease_ms: self.settings.lease_ms,
            released: false,
        };
        TableOp::Write { key: self.settings.key.clone(), precondition, value: row.to_json() }
    }
}

/// The effect of an operation's result on the lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// The ownership is unchanged.
    Unchanged,
    /// Execute the operation immediately.
    Execute(TableOp),
    /// The lease was acquired with a new fencing token.
    Acquired(FencingToken),
    /// The lease was renewed.
    Renewed,
    /// Another process holds the lease.
    Lost,
}

/// An operation whose result is pending.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct PendingOp {
    sent_at: MonoTime,
    fence: FencingToken,
    is_write: bool,
}

/// A lease that this process holds or that has lapsed.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct HeldLease {
    fence: FencingToken,
    revision: u64,
    valid_until: MonoTime,
}

/// The last observed row of another holder.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct ObservedRow {
    revision: u64,
    fence: FencingToken,
    first_seen_at: MonoTime,
    lease_ms: u64,
    is_free: bool,
}
