//! Two operators with patches against one version, and a process that follows and restarts.

use filbertcleat_base::ConfigVersion;
use filbertcleat_config::Patch;
use filbertcleat_store::PatchPublication;
use filbertcleat_store::PublicationStep;
use filbertcleat_store::TableOp;
use filbertcleat_store::TableResult;

use crate::Cell;
use crate::World;

/// The rules that the configuration rests on.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PatchRules {
    /// Writes are conditional.
    pub conditional: bool,
    /// A process that has restarted serves nothing before its version is confirmed.
    pub confirms: bool,
}

impl PatchRules {
    /// The rules as they are.
    pub const KEPT: Self = Self { conditional: true, confirms: true };
}

/// A state of two operators and one process.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct PatchWorld {
    rules: PatchRules,
    row: Cell,
    operators: [Operator; 2],
    served: Served,
    highest_served: u8,
    reverted: bool,
    faults_left: u8,
    restarts_left: u8,
}

/// What a process serves: 0 is the version before the patches.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Served {
    Nothing,
    Version(u8),
}

/// An operator; the publication is rebuilt from what it was told, which makes states comparable.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Operator {
    id: &'static str,
    told: Vec<TableResult>,
    outcome: Outcome,
}

/// What an operator knows.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Outcome {
    Waiting,
    Accepted,
    Refused,
}

impl PatchWorld {
    /// The results after which an operator gives up, which bounds the search.
    const TOLD_MAX: usize = 5;

    /// Creates the start, with so many faults of the table service and restarts to come.
    pub fn new(rules: PatchRules, faults: u8, restarts: u8) -> Self {
        let operator = |id| Operator { id, told: Vec::new(), outcome: Outcome::Waiting };
        Self {
            rules,
            row: Cell::default(),
            operators: [operator("first"), operator("second")],
            served: Served::Version(0),
            highest_served: 0,
            reverted: false,
            faults_left: faults,
            restarts_left: restarts,
        }
    }

    fn publish(&self, index: usize, next: &mut Vec<Self>) {
        let operator = &self.operators[index];
        if operator.outcome != Outcome::Waiting || operator.told.len() >= Self::TOLD_MAX {
            return;
        }
        let Some(op) = operator.op() else {
            return;
        };
        let mut done = self.clone();
        let result = done.row.run(&op, self.rules.conditional);
        next.push(done.told(index, result));
        if self.faults_left > 0 {
            done.faults_left -= 1;
            next.push(done.told(index, TableResult::UnknownOutcome));
            let mut undone = self.clone();
            undone.faults_left -= 1;
            next.push(undone.told(index, TableResult::UnknownOutcome));
            next.push(undone.told(index, TableResult::Unavailable));
        }
    }

    fn told(&self, index: usize, result: TableResult) -> Self {
        let mut world = self.clone();
        let operator = &mut world.operators[index];
        operator.told.push(result);
        operator.outcome = operator.replay().1;
        world
    }

    fn serve(&self, version: u8) -> Self {
        let mut world = self.clone();
        world.reverted |= version < self.highest_served;
        world.highest_served = version.max(self.highest_served);
        world.served = Served::Version(version);
        world
    }

    fn head(&self) -> u8 {
        u8::from(self.row.value().is_some())
    }
}

impl Operator {
    /// Returns the operation that is under way.
    fn op(&self) -> Option<TableOp> {
        self.replay().0
    }

    fn replay(&self) -> (Option<TableOp>, Outcome) {
        let patch = Patch {
            base: ConfigVersion::default(),
            id: self.id.into(),
            operator: self.id.into(),
            changes: Vec::new(),
        };
        let mut publish = PatchPublication::new(patch);
        let mut op = publish.begin();
        for result in &self.told {
            match publish.on_result(result) {
                PublicationStep::Execute(next) | PublicationStep::Retry(next) => op = next,
                PublicationStep::Accepted(_) => return (None, Outcome::Accepted),
                PublicationStep::Rejected(_) => return (None, Outcome::Refused),
            }
        }
        (Some(op), Outcome::Waiting)
    }
}

impl World for PatchWorld {
    fn next(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for index in 0..self.operators.len() {
            self.publish(index, &mut next);
        }
        if self.restarts_left > 0 {
            let mut restarted = self.clone();
            restarted.restarts_left -= 1;
            restarted.served = Served::Nothing;
            next.push(if self.rules.confirms { restarted } else { restarted.serve(0) });
        }
        // The process reads the chain to its head.
        next.push(self.serve(self.head()));
        next
    }

    fn broken(&self) -> Option<&'static str> {
        let accepted =
            self.operators.iter().filter(|operator| operator.outcome == Outcome::Accepted);
        if accepted.clone().count() > 1 {
            return Some("two operators won one version");
        }
        let in_row = |operator: &Operator| {
            let row = self.row.value().and_then(|value| Patch::parse(value).ok());
            row.is_some_and(|patch| patch.id.as_str() == operator.id)
        };
        if accepted.clone().any(|operator| !in_row(operator)) {
            return Some("an accepted patch is not the version");
        }
        let refused = self.operators.iter().filter(|operator| operator.outcome == Outcome::Refused);
        if refused.clone().any(in_row) {
            return Some("a refused patch is the version");
        }
        self.reverted.then_some("a process served an older version than before")
    }
}
