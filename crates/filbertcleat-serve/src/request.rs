//! What a request asks of an engine.

use filbertcleat_base::ModelName;
use filbertcleat_base::ServiceName;

use crate::AdapterKey;

/// What a request asks of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestDemand {
    /// The service that the request's route leads to.
    pub service: ServiceName,
    /// The base model, if the request names one.
    pub model: Option<ModelName>,
    /// The adapter, if the request names one.
    pub adapter: Option<AdapterKey>,
    /// The lowest version of the adapter that may serve.
    pub min_version: u64,
    /// The length of the prompt.
    pub prompt_tokens: u64,
    /// The most tokens of the answer.
    pub answer_tokens_max: u64,
    /// The longest pause between two events for full credit; 0 if it does not stream.
    pub gap_objective_ms: u64,
    /// The urgency; 0 is the most urgent.
    pub priority: u8,
}

impl RequestDemand {
    /// Returns the memory that the request may need, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.answer_tokens_max
    }
}
