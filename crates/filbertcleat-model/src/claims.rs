//! Model of two requests with one idempotency key.
//!
//! The table service can fail and can lose replies, and the engine's answer can be lost.

use filbertcleat_store::Claim;
use filbertcleat_store::ClaimCompletion;
use filbertcleat_store::ClaimCompletionStep;
use filbertcleat_store::ClaimRow;
use filbertcleat_store::ClaimState;
use filbertcleat_store::ClaimStep;
use filbertcleat_store::TableOp;
use filbertcleat_store::TableResult;

use crate::Model;
use crate::TableRow;

/// The rules that keep a claimed request from running twice.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ClaimRules {
    /// Writes to the table service are conditional on the revision.
    pub conditional_writes: bool,
    /// A call with an unknown outcome is not repeated.
    pub stops_on_unknown: bool,
    /// Only a call that never reached the engine is reported as not run.
    pub proves_not_run: bool,
}

impl ClaimRules {
    /// All rules enforced.
    pub const ENFORCED: Self =
        Self { conditional_writes: true, stops_on_unknown: true, proves_not_run: true };
}

/// A state of two requests with one idempotency key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ClaimModel {
    rules: ClaimRules,
    row: TableRow,
    calls: [Call; 2],
    runs: u8,
    faults_left: u8,
}

/// One of the two requests.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Call {
    token: &'static str,
    phase: Phase,
    runs: u8,
    reported_not_run: bool,
}

/// The phase of a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Phase {
    New,
    Claiming { claim: Claim, op: TableOp },
    Claimed { revision: u64, attempts: u8 },
    Completing { completion: ClaimCompletion, op: TableOp },
    Ended,
}

impl ClaimModel {
    /// The maximum number of calls per request when calls with an unknown outcome are repeated.
    const ATTEMPTS_MAX: u8 = 2;

    /// Creates the initial state, in which the table service may fail `faults` times.
    pub fn new(rules: ClaimRules, faults: u8) -> Self {
        let call = |token| Call { token, phase: Phase::New, runs: 0, reported_not_run: false };
        Self {
            rules,
            row: TableRow::default(),
            calls: [call("a"), call("b")],
            runs: 0,
            faults_left: faults,
        }
    }

    /// Adds the successors that result from a step of one request.
    fn step_call(&self, index: usize, successors: &mut Vec<Self>) {
        let call = &self.calls[index];
        match &call.phase {
            Phase::New => {
                let mut claim = Claim::new("key", call.token, "entry".into());
                let op = claim.begin();
                successors.push(self.with_phase(index, Phase::Claiming { claim, op }));
            }
            Phase::Claiming { claim, op } => {
                for (model, result) in self.run_operation(op) {
                    successors.push(model.apply_claim_result(index, claim.clone(), &result));
                }
                // The caller's time limit has passed: the claim is released without a call.
                let completion = ClaimCompletion::new("key", call.token, None, None);
                let op = completion.begin();
                let mut model = self.with_phase(index, Phase::Completing { completion, op });
                model.calls[index].reported_not_run = true;
                successors.push(model);
            }
            Phase::Claimed { revision, attempts } => {
                self.call_engine(index, *revision, *attempts, successors);
            }
            Phase::Completing { completion, op } => {
                for (model, result) in self.run_operation(op) {
                    let mut completion = completion.clone();
                    let phase = match completion.on_result(&result) {
                        ClaimCompletionStep::Done => Phase::Ended,
                        ClaimCompletionStep::Execute(op) | ClaimCompletionStep::Retry(op) => {
                            Phase::Completing { completion, op }
                        }
                    };
                    successors.push(model.with_phase(index, phase));
                }
            }
            Phase::Ended => {}
        }
    }

    /// Applies a reply of the table service to a claim.
    fn apply_claim_result(&self, index: usize, mut claim: Claim, result: &TableResult) -> Self {
        let phase = match claim.on_result(result) {
            ClaimStep::Acquired { revision } => Phase::Claimed { revision, attempts: 0 },
            ClaimStep::AlreadyClaimed(_) => Phase::Ended,
            ClaimStep::Execute(op) | ClaimStep::Retry(op) => Phase::Claiming { claim, op },
        };
        self.with_phase(index, phase)
    }

    /// Adds the outcomes of a call to the engine: the call runs and is answered, the call runs or
    /// does not run and its outcome is unknown, or the call is known not to have run.
    fn call_engine(&self, index: usize, revision: u64, attempts: u8, successors: &mut Vec<Self>) {
        let mut ran = self.clone();
        ran.runs += 1;
        ran.calls[index].runs += 1;
        successors.push(ran.with_completion(index, Some(ClaimState::Unknown), revision, false));

        // The entry does not know whether the call ran.
        for model in [&ran, self] {
            if self.rules.stops_on_unknown || attempts + 1 >= Self::ATTEMPTS_MAX {
                let reported_not_run = !self.rules.proves_not_run;
                successors.push(model.with_completion(
                    index,
                    Some(ClaimState::Unknown),
                    revision,
                    reported_not_run,
                ));
            } else {
                successors.push(
                    model.with_phase(index, Phase::Claimed { revision, attempts: attempts + 1 }),
                );
            }
        }
        successors.push(self.with_completion(index, None, revision, true));
    }

    /// Returns the state in which a request starts to complete its claim.
    fn with_completion(
        &self,
        index: usize,
        state: Option<ClaimState>,
        revision: u64,
        reported_not_run: bool,
    ) -> Self {
        let token = self.calls[index].token;
        let row =
            state.map(|state| ClaimRow { token: token.to_owned(), node: "entry".into(), state });
        let completion = ClaimCompletion::new("key", token, row, Some(revision));
        let op = completion.begin();
        let mut model = self.with_phase(index, Phase::Completing { completion, op });
        model.calls[index].reported_not_run |= reported_not_run;
        model
    }

    /// Returns the possible results of an operation, each with the state that follows.
    fn run_operation(&self, op: &TableOp) -> Vec<(Self, TableResult)> {
        let mut applied = self.clone();
        let result = applied.row.apply(op, self.rules.conditional_writes);
        let mut outcomes = vec![(applied.clone(), result)];
        if self.faults_left > 0 {
            applied.faults_left -= 1;
            let mut not_applied = self.clone();
            not_applied.faults_left -= 1;
            outcomes.push((applied, TableResult::UnknownOutcome));
            outcomes.push((not_applied.clone(), TableResult::UnknownOutcome));
            outcomes.push((not_applied, TableResult::Unavailable));
        }
        outcomes
    }

    /// Returns the state with another phase of one request.
    fn with_phase(&self, index: usize, phase: Phase) -> Self {
        let mut model = self.clone();
        model.calls[index].phase = phase;
        model
    }
}

impl Model for ClaimModel {
    fn successors(&self) -> Vec<Self> {
        let mut successors = Vec::new();
        for index in 0..self.calls.len() {
            self.step_call(index, &mut successors);
        }
        successors
    }

    fn violation(&self) -> Option<&'static str> {
        if self.runs > 1 {
            return Some("a request ran twice");
        }
        let false_refusal = self.calls.iter().any(|call| call.reported_not_run && call.runs > 0);
        false_refusal.then_some("a request refused as not run was run")
    }
}
