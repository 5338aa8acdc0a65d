//! What a caller is told when there is no answer.

use filbertcleat_base::Executed;
use filbertcleat_base::Fault;

/// A refusal, or the end of a request that got no whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Whether the request was run.
    pub run: Executed,
    /// The step and peer at which it ended.
    pub fault: Fault,
    /// When the caller may come back.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of a request that was not run.
    pub fn not_run(fault: Fault, retry_after_ms: Option<u64>) -> Self {
        Self { run: Executed::No, fault, retry_after_ms }
    }

    /// Creates the end of a request that may have been run.
    pub fn outcome_unknown(fault: Fault) -> Self {
        Self { run: Executed::Unknown, fault, retry_after_ms: None }
    }
}
