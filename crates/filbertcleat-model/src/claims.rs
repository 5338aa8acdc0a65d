//! Two calls with one key, a table service that goes down and loses answers, and an engine.

use filbertcleat_store::Claim;
use filbertcleat_store::ClaimCompletion;
use filbertcleat_store::ClaimCompletionStep;
use filbertcleat_store::ClaimRow;
use filbertcleat_store::ClaimState;
use filbertcleat_store::ClaimStep;
use filbertcleat_store::TableOp;
use filbertcleat_store::TableResult;

use crate::Cell;
use crate::World;

/// The rules that claims rest on.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ClaimRules {
    /// Writes are conditional.
    pub conditional: bool,
    /// A call of unknown outcome is not made again.
    pub stops_on_unknown: bool,
    /// Only a call that never reached the engine is refused as not run.
    pub proves_not_run: bool,
}

impl ClaimRules {
    /// The rules as they are.
    pub const KEPT: Self = Self { conditional: true, stops_on_unknown: true, proves_not_run: true };
}

/// A state of two calls with one key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ClaimWorld {
    rules: ClaimRules,
    cell: Cell,
    calls: [Call; 2],
    runs: u8,
    faults_left: u8,
}

/// A call on its way.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Call {
    token: &'static str,
    phase: Phase,
    runs: u8,
    told_not_run: bool,
}

/// Where a call stands.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Phase {
    New,
    Claiming { claim: Claim, op: TableOp },
    Won { revision: u64, tries: u8 },
    Settling { settle: ClaimCompletion, op: TableOp },
    Ended,
}

impl ClaimWorld {
    /// The calls to the engine that a call may make when it goes on after an unknown outcome.
    const TRIES_MAX: u8 = 2;

    /// Creates the start, with so many faults of the table service to come.
    pub fn new(rules: ClaimRules, faults: u8) -> Self {
        let call = |token| Call { token, phase: Phase::New, runs: 0, told_not_run: false };
        Self {
            rules,
            cell: Cell::default(),
            calls: [call("a"), call("b")],
            runs: 0,
            faults_left: faults,
        }
    }

    fn advance(&self, index: usize, next: &mut Vec<Self>) {
        let call = &self.calls[index];
        match &call.phase {
            Phase::New => {
                let mut claim = Claim::new("key", call.token, "entry".into());
                let op = claim.begin();
                next.push(self.with(index, Phase::Claiming { claim, op }));
            }
            Phase::Claiming { claim, op } => {
                for (world, result) in self.ask(op) {
                    next.push(world.claim_step(index, claim.clone(), &result));
                }
                // The caller's time is up: the claim is released and nothing was run.
                let settle = ClaimCompletion::new("key", call.token, None, None);
                let op = settle.begin();
                let mut world = self.with(index, Phase::Settling { settle, op });
                world.calls[index].told_not_run = true;
                next.push(world);
            }
            Phase::Won { revision, tries } => self.engine(index, *revision, *tries, next),
            Phase::Settling { settle, op } => {
                for (world, result) in self.ask(op) {
                    let mut settle = settle.clone();
                    let phase = match settle.on_result(&result) {
                        ClaimCompletionStep::Done => Phase::Ended,
                        ClaimCompletionStep::Execute(op) | ClaimCompletionStep::Retry(op) => {
                            Phase::Settling { settle, op }
                        }
                    };
                    next.push(world.with(index, phase));
                }
            }
            Phase::Ended => {}
        }
    }

    fn claim_step(&self, index: usize, mut claim: Claim, result: &TableResult) -> Self {
        let phase = match claim.on_result(result) {
            ClaimStep::Acquired { revision } => Phase::Won { revision, tries: 0 },
            ClaimStep::AlreadyClaimed(_) => Phase::Ended,
            ClaimStep::Execute(op) | ClaimStep::Retry(op) => Phase::Claiming { claim, op },
        };
        self.with(index, phase)
    }

    /// Sends the call: it runs and is answered, runs and its answer is lost, or does not run.
    fn engine(&self, index: usize, revision: u64, tries: u8, next: &mut Vec<Self>) {
        let mut ran = self.clone();
        ran.runs += 1;
        ran.calls[index].runs += 1;
        next.push(ran.settled(index, Some(ClaimState::Unknown), revision, false));

        // The outcome is unknown to the entry: it may have run or not.
        for world in [&ran, self] {
            if self.rules.stops_on_unknown || tries + 1 >= Self::TRIES_MAX {
                let told = !self.rules.proves_not_run;
                next.push(world.settled(index, Some(ClaimState::Unknown), revision, told));
            } else {
                next.push(world.with(index, Phase::Won { revision, tries: tries + 1 }));
            }
        }
        next.push(self.settled(index, None, revision, true));
    }

    fn settled(&self, index: usize, state: Option<ClaimState>, revision: u64, told: bool) -> Self {
        let token = self.calls[index].token;
        let row =
            state.map(|state| ClaimRow { token: token.to_owned(), node: "entry".into(), state });
        let settle = ClaimCompletion::new("key", token, row, Some(revision));
        let op = settle.begin();
        let mut world = self.with(index, Phase::Settling { settle, op });
        world.calls[index].told_not_run |= told;
        world
    }

    /// Returns what can come of an operation, with the state of the row after it.
    fn ask(&self, op: &TableOp) -> Vec<(Self, TableResult)> {
        let mut done = self.clone();
        let result = done.cell.run(op, self.rules.conditional);
        let mut outcomes = vec![(done.clone(), result)];
        if self.faults_left > 0 {
            done.faults_left -= 1;
            let mut undone = self.clone();
            undone.faults_left -= 1;
            outcomes.push((done, TableResult::UnknownOutcome));
            outcomes.push((undone.clone(), TableResult::UnknownOutcome));
            outcomes.push((undone, TableResult::Unavailable));
        }
        outcomes
    }

    fn with(&self, index: usize, phase: Phase) -> Self {
        let mut world = self.clone();
        world.calls[index].phase = phase;
        world
    }
}

impl World for ClaimWorld {
    fn next(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for index in 0..self.calls.len() {
            self.advance(index, &mut next);
        }
        next
    }

    fn broken(&self) -> Option<&'static str> {
        if self.runs > 1 {
            return Some("a request ran twice");
        }
        let lied = self.calls.iter().any(|call| call.told_not_run && call.runs > 0);
        lied.then_some("a request refused as not run was run")
    }
}
