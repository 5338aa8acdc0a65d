//! Decides when the marks of crashes are read from the catalogue and written there.
//!
//! Processes tell each other marks through the agents. Marks on what requests are turned away for
//! are kept in a row of the catalogue as well, so that the loss of all VMs does not cost servers
//! again. An entry that hears none of the agents learns through this row only, and keeps all marks
//! there.

mod row;
mod step;

use std::collections::BTreeSet;

use filbertcleat_base::MonoTime;

pub use self::row::KeptRow;
pub use self::step::KeepStep;
use crate::CrashEvidence;
use crate::CrashId;
use crate::CrashMark;
use crate::CrashSuspect;

/// When an entry has to read or write the row that keeps marks.
#[derive(Clone, Debug)]
pub struct KeptMarks {
    /// The row as it was last read or written; `None` before that.
    row: Option<KeptRow>,
    read_at: Option<MonoTime>,
    needs_write: bool,
    /// Since when the entry has heard none of the agents that pass on marks.
    isolated_since: Option<MonoTime>,
    retry_at: MonoTime,
    failures: u32,
}

impl KeptMarks {
    /// How long an entry hears none of the agents before it relies on the row: more than the
    /// interval between two of their updates.
    const ISOLATION_MS: u64 = 1_000;
    /// How much longer an entry that starts waits, since agents first have to learn of it.
    const START_GRACE_MS: u64 = 2_000;
    /// The shortest time until an entry checks that another has kept what it told.
    const CHECK_DELAY_MS: u64 = 1_000;
    /// The time over which the checks of several entries are spread.
    const CHECK_SPREAD_MS: u64 = 2_000;
    /// The number of entries that check, as the one that has to write may end before.
    const CHECKERS: u32 = 3;
    /// The pause after a failed call, which grows by as much with each further failure.
    const RETRY_PAUSE_MS: u64 = 200;
    /// The longest pause after a failed call. A call that began before the catalogue is back, which takes
    /// a second, this pause and the next call have to fit within the time after which the process is in
    /// touch again.
    const RETRY_PAUSE_MAX_MS: u64 = 600;

    /// Creates the state of a process that has not read the row.
    pub fn new(now: MonoTime) -> Self {
        Self {
            row: None,
            read_at: Some(now),
            needs_write: false,
            isolated_since: Some(now.plus_ms(Self::START_GRACE_MS)),
            retry_at: now,
            failures: 0,
        }
    }

    /// Returns what has to be done next. `is_isolated` tells whether the entry hears none of the
    /// agents that pass on marks.
    pub fn step(&mut self, now: MonoTime, evidence: &CrashEvidence, is_isolated: bool) -> KeepStep {
        self.isolated_since = is_isolated.then(|| self.isolated_since.unwrap_or(now));
        if now < self.retry_at {
            return KeepStep::Wait { until: Some(self.retry_at) };
        }
        let Some(row) = self.row.as_ref().filter(|_| self.read_at.is_none_or(|at| now < at)) else {
            return KeepStep::Read;
        };
        let isolated_at = self.isolated_since.map(|since| since.plus_ms(Self::ISOLATION_MS));
        let relies_on_row = isolated_at.is_some_and(|at| at <= now);
        if self.needs_write || relies_on_row {
            self.needs_write = false;
            let marks = evidence.marks_to_keep(now, &row.marks, relies_on_row);
            if contents(&marks) != contents(&row.marks) {
                return KeepStep::Write(KeptRow { version: row.version, marks });
            }
        }
        if relies_on_row {
            return KeepStep::Watch;
        }
        KeepStep::Wait { until: self.read_at.into_iter().chain(isolated_at).min() }
    }

    /// Records that this entry has changed the evidence by what it has seen itself.
    pub fn on_seen(&mut self) {
        self.needs_write = true;
    }

    /// Records that another process has told what changes which requests are turned away. With
    /// `entries` of them, few check that it is kept; `draw` differs between them.
    pub fn on_told(&mut self, now: MonoTime, entries: u32, draw: u64) {
        let is_checker = draw % u64::from(entries.max(1)) < u64::from(Self::CHECKERS);
        if is_checker && self.read_at.is_none() {
            let delay_ms = Self::CHECK_DELAY_MS + (draw >> 32) % Self::CHECK_SPREAD_MS;
            self.read_at = Some(now.plus_ms(delay_ms));
        }
    }

    /// Records that the catalogue was restored from a copy, which may lack what was written.
    pub fn on_restored(&mut self, now: MonoTime, draw: u64) {
        self.row = None;
        self.retry_at = now.plus_ms((draw >> 32) % Self::CHECK_DELAY_MS);
    }

    /// Records that changes of the row can't be followed any more.
    pub fn on_outdated(&mut self, now: MonoTime) {
        self.read_at = Some(now);
    }

    /// Records the row as it was read, and whose marks have been merged.
    pub fn on_read(&mut self, row: KeptRow) {
        self.row = Some(row);
        self.read_at = None;
        self.needs_write = true;
        self.failures = 0;
    }

    /// Records the row that another process wrote first, and whose marks have been merged.
    pub fn on_conflict(&mut self, now: MonoTime, row: KeptRow, draw: u64) {
        self.on_read(row);
        self.retry_at = now.plus_ms((draw >> 32) % Self::RETRY_PAUSE_MS);
    }

    /// Records that the row was written.
    pub fn on_written(&mut self, row: KeptRow) {
        self.row = Some(row);
        self.failures = 0;
    }

    /// Records that a call failed. A write that failed may have taken effect, or still take it.
    pub fn on_failed(&mut self, now: MonoTime) {
        self.failures += 1;
        let pause_ms = Self::RETRY_PAUSE_MS * u64::from(self.failures);
        self.retry_at = now.plus_ms(pause_ms.min(Self::RETRY_PAUSE_MAX_MS));
        self.read_at = Some(self.retry_at);
    }
}

/// Returns what marks tell, without their times.
fn contents(marks: &[CrashMark]) -> BTreeSet<(CrashSuspect, CrashId, bool)> {
    marks.iter().map(|mark| (mark.suspect, mark.crash, mark.is_cleared)).collect()
}
