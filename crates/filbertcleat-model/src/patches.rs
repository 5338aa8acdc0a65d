//! Model of two operators that patch the same configuration version, and a process that follows the
//! versions and restarts.

use filbertcleat_base::ConfigVersion;
use filbertcleat_config::Patch;
use filbertcleat_store::PatchPublication;
use filbertcleat_store::PublicationStep;
use filbertcleat_store::TableOp;
use filbertcleat_store::TableResult;

use crate::Model;
use crate::TableRow;

/// The rules that keep the configuration versions consistent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PatchRules {
    /// Writes to the table service are conditional on the revision.
    pub conditional_writes: bool,
    /// A restarted process serves nothing until its configuration version is confirmed.
    pub confirms_version: bool,
}

impl PatchRules {
    /// All rules enforced.
    pub const ENFORCED: Self = Self { conditional_writes: true, confirms_version: true };
}

/// A state of two operators and one process.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct PatchModel {
    rules: PatchRules,
    row: TableRow,
    operators: [Operator; 2],
    served: Served,
    highest_served: u8,
    served_older: bool,
    faults_left: u8,
    restarts_left: u8,
}

/// The configuration that a process serves; 0 is the version before the patches.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Served {
    Nothing,
    Version(u8),
}

/// An operator that publishes a patch.
///
/// The publication is rebuilt from its results, so that states can be compared.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Operator {
    id: &'static str,
    results: Vec<TableResult>,
    outcome: Outcome,
}

/// The outcome of a publication as its operator knows it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Outcome {
    Pending,
    Accepted,
    Rejected,
}

impl PatchModel {
    /// The number of results after which an operator gives up, which bounds the search.
    const RESULTS_MAX: usize = 5;

    /// Creates the initial state, in which the table service may fail `faults` times and the
    /// process may restart `restarts` times.
    pub fn new(rules: PatchRules, faults: u8, restarts: u8) -> Self {
        let operator = |id| Operator { id, results: Vec::new(), outcome: Outcome::Pending };
        Self {
            rules,
            row: TableRow::default(),
            operators: [operator("first"), operator("second")],
            served: Served::Version(0),
            highest_served: 0,
            served_older: false,
            faults_left: faults,
            restarts_left: restarts,
        }
    }

    /// Adds the successors that result from the next operation of an operator.
    fn step_operator(&self, index: usize, successors: &mut Vec<Self>) {
        let operator = &self.operators[index];
        if operator.outcome != Outcome::Pending || operator.results.len() >= Self::RESULTS_MAX {
            return;
        }
        let Some(op) = operator.pending_op() else {
            return;
        };
        let mut applied = self.clone();
        let result = applied.row.apply(&op, self.rules.conditional_writes);
        successors.push(applied.with_result(index, result));
        if self.faults_left > 0 {
            applied.faults_left -= 1;
            successors.push(applied.with_result(index, TableResult::UnknownOutcome));
            let mut not_applied = self.clone();
            not_applied.faults_left -= 1;
            successors.push(not_applied.with_result(index, TableResult::UnknownOutcome));
            successors.push(not_applied.with_result(index, TableResult::Unavailable));
        }
    }

    /// Returns the state in which an operator has received a result.
    fn with_result(&self, index: usize, result: TableResult) -> Self {
        let mut model = self.clone();
        let operator = &mut model.operators[index];
        operator.results.push(result);
        operator.outcome = operator.replay().1;
        model
    }

    /// Returns the state in which the process serves a version.
    fn with_served(&self, version: u8) -> Self {
        let mut model = self.clone();
        model.served_older |= version < self.highest_served;
        model.highest_served = version.max(self.highest_served);
        model.served = Served::Version(version);
        model
    }

    /// Returns the latest published version.
    fn head_version(&self) -> u8 {
        u8::from(self.row.value().is_some())
    }
}

impl Operator {
    /// Returns the next operation of the publication, or `None` if it has ended.
    fn pending_op(&self) -> Option<TableOp> {
        self.replay().0
    }

    /// Rebuilds the publication from its results, and returns its next operation and its outcome.
    fn replay(&self) -> (Option<TableOp>, Outcome) {
        let patch = Patch {
            base: ConfigVersion::default(),
            id: self.id.into(),
            operator: self.id.into(),
            changes: Vec::new(),
        };
        let mut publication = PatchPublication::new(patch);
        let mut op = publication.begin();
        for result in &self.results {
            match publication.on_result(result) {
                PublicationStep::Execute(next_op) | PublicationStep::Retry(next_op) => op = next_op,
                PublicationStep::Accepted(_) => return (None, Outcome::Accepted),
                PublicationStep::Rejected(_) => return (None, Outcome::Rejected),
            }
        }
        (Some(op), Outcome::Pending)
    }
}

impl Model for PatchModel {
    fn successors(&self) -> Vec<Self> {
        let mut successors = Vec::new();
        for index in 0..self.operators.len() {
            self.step_operator(index, &mut successors);
        }
        if self.restarts_left > 0 {
            let mut restarted = self.clone();
            restarted.restarts_left -= 1;
            restarted.served = Served::Nothing;
            successors.push(if self.rules.confirms_version {
                restarted
            } else {
                restarted.with_served(0)
            });
        }
        // The process reads the published versions up to the latest one.
        successors.push(self.with_served(self.head_version()));
        successors
    }

    fn violation(&self) -> Option<&'static str> {
        let accepted =
            self.operators.iter().filter(|operator| operator.outcome == Outcome::Accepted);
        if accepted.clone().count() > 1 {
            return Some("two patches were accepted for one version");
        }
        let in_row = |operator: &Operator| {
            let row = self.row.value().and_then(|value| Patch::parse(value).ok());
            row.is_some_and(|patch| patch.id.as_str() == operator.id)
        };
        if accepted.clone().any(|operator| !in_row(operator)) {
            return Some("an accepted patch is not the published version");
        }
        let rejected =
            self.operators.iter().filter(|operator| operator.outcome == Outcome::Rejected);
        if rejected.clone().any(in_row) {
            return Some("a rejected patch is the published version");
        }
        self.served_older.then_some("a process served an older version than before")
    }
}
