//! The refusal that a caller receives in place of an answer.

use filbertcleat_base::Executed;
use filbertcleat_base::Fault;

/// A refusal of a request, or the end of a request whose answer is incomplete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Whether the request was executed.
    pub executed: Executed,
    /// The step and peer at which the request failed, with the reason.
    pub fault: Fault,
    /// The time after which the caller may retry, if a retry is safe.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates the refusal of a request that was not executed.
    pub fn not_executed(fault: Fault, retry_after_ms: Option<u64>) -> Self {
        Self { executed: Executed::No, fault, retry_after_ms }
    }

    /// Creates the refusal of a request that may have been executed.
    pub fn outcome_unknown(fault: Fault) -> Self {
        Self { executed: Executed::Unknown, fault, retry_after_ms: None }
    }
}
