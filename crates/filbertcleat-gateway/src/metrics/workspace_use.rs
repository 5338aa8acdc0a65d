//! What workspaces use of their allowances, for metrics.

use std::collections::HashMap;

use filbertcleat_base::MonoTime;
use filbertcleat_serve::Allowance;
use filbertcleat_serve::AllowanceLedger;

/// What workspaces use of their allowances: one row for each of those with the most use, and the sum
/// of the others, so that the number of workspaces does not set the length of a page of metrics.
///
/// All counts only increase: a workspace that gets a row begins at 0, and one that loses its row adds
/// its counts to the others.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceUse {
    workspaces: HashMap<String, Record>,
    row_count: usize,
    others: OutcomeCounts,
}

/// What became of a request of a workspace with an allowance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AllowanceOutcome {
    /// It was charged and may run.
    Taken,
    /// It is over the allowance.
    Refused,
    /// Too few agents respond to tell.
    Unknown,
}

/// The requests by outcome.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OutcomeCounts {
    /// Requests that were charged.
    pub taken: u64,
    /// Requests over the allowance.
    pub refused: u64,
    /// Requests for which too few agents responded.
    pub unknown: u64,
}

/// The row of one workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkspaceRow<'a> {
    /// The name, without characters that separate the parts of a metric.
    pub label: &'a str,
    /// The hash of the name, by which agents know the workspace.
    pub hash: u64,
    /// The allowance of its last request.
    pub allowance: Allowance,
    /// The cost of the requests that were charged in the last seconds, per second.
    pub use_per_s: f64,
    /// The requests since the workspace has had a row.
    pub counts: OutcomeCounts,
}

#[derive(Clone, Debug)]
struct Record {
    label: String,
    hash: u64,
    allowance: Allowance,
    recent_cost: f64,
    at: MonoTime,
    counts: Option<OutcomeCounts>,
}

impl WorkspaceUse {
    /// The most rows; 32 are readable as a table, and leave most series to other metrics.
    pub const ROWS_MAX: usize = 32;
    /// The time in which the weight of a request falls to a third. Shorter times make the use of
    /// workspaces with clumps of requests jump.
    const DECAY_S: f64 = 10.0;
    /// How many times the use of the lowest row a workspace needs to replace it, so that workspaces
    /// with similar use don't alternate.
    const REPLACE_FACTOR: f64 = 2.0;
    /// The recent cost below which a workspace without a row is forgotten.
    const FORGET_COST: f64 = 0.01;

    /// Counts a request. The first workspaces get a row at once.
    pub fn count(
        &mut self,
        now: MonoTime,
        name: &str,
        allowance: &Allowance,
        cost: u64,
        outcome: AllowanceOutcome,
    ) {
        if !self.workspaces.contains_key(name) {
            let counts = (self.row_count < Self::ROWS_MAX).then(OutcomeCounts::default);
            self.row_count += usize::from(counts.is_some());
            let record = Record {
                label: label_of(name),
                hash: AllowanceLedger::workspace_hash(name),
                allowance: *allowance,
                recent_cost: 0.0,
                at: now,
                counts,
            };
            self.workspaces.insert(name.to_owned(), record);
        }
        let Some(record) = self.workspaces.get_mut(name) else { return };
        record.allowance = *allowance;
        if outcome == AllowanceOutcome::Taken {
            record.recent_cost = record.recent_cost(now) + cost as f64;
            record.at = now;
        }
        record.counts.as_mut().unwrap_or(&mut self.others).add(outcome);
    }

    /// Gives the rows to the workspaces with the most use.
    pub fn select(&mut self, now: MonoTime) {
        let (mut held, mut without): (Vec<_>, Vec<_>) =
            self.workspaces.values_mut().partition(|record| record.counts.is_some());
        held.sort_by(|left, right| left.recent_cost(now).total_cmp(&right.recent_cost(now)));
        without.sort_by(|left, right| right.recent_cost(now).total_cmp(&left.recent_cost(now)));
        for (lowest, candidate) in held.into_iter().zip(without) {
            let needed = lowest.recent_cost(now) * Self::REPLACE_FACTOR;
            if candidate.recent_cost(now) <= needed.max(Self::FORGET_COST) {
                break;
            }
            self.others.merge(lowest.counts.take().unwrap_or_default());
            candidate.counts = Some(OutcomeCounts::default());
        }
        self.workspaces.retain(|_, record| {
            record.counts.is_some() || record.recent_cost(now) >= Self::FORGET_COST
        });
    }

    /// Returns the rows, those with the most use first.
    pub fn rows(&self, now: MonoTime) -> Vec<WorkspaceRow<'_>> {
        let mut rows: Vec<_> = self
            .workspaces
            .values()
            .filter_map(|record| {
                Some(WorkspaceRow {
                    label: &record.label,
                    hash: record.hash,
                    allowance: record.allowance,
                    use_per_s: record.recent_cost(now) / Self::DECAY_S,
                    counts: record.counts?,
                })
            })
            .collect();
        rows.sort_by(|left, right| {
            right.use_per_s.total_cmp(&left.use_per_s).then_with(|| left.label.cmp(right.label))
        });
        rows
    }

    /// Returns the requests of all workspaces without a row.
    pub fn others(&self) -> OutcomeCounts {
        self.others
    }
}

impl OutcomeCounts {
    /// Returns the counts with the names of the outcomes.
    pub fn by_name(&self) -> [(&'static str, u64); 3] {
        [("taken", self.taken), ("refused", self.refused), ("unknown", self.unknown)]
    }

    fn add(&mut self, outcome: AllowanceOutcome) {
        match outcome {
            AllowanceOutcome::Taken => self.taken += 1,
            AllowanceOutcome::Refused => self.refused += 1,
            AllowanceOutcome::Unknown => self.unknown += 1,
        }
    }

    fn merge(&mut self, other: Self) {
        self.taken += other.taken;
        self.refused += other.refused;
        self.unknown += other.unknown;
    }
}

impl Record {
    fn recent_cost(&self, now: MonoTime) -> f64 {
        let since_s = now.since(self.at).as_secs_f64();
        self.recent_cost * (-since_s / WorkspaceUse::DECAY_S).exp()
    }
}

/// Returns a name without the characters that separate the parts of a metric.
fn label_of(name: &str) -> String {
    let is_plain = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.' | '/');
    name.chars().map(|c| if is_plain(c) { c } else { '_' }).collect()
}
