//! The calls of an engine model and the tokens that it produces.

use filbertcleat_base::AdapterRef;

/// A call that an engine model runs.
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// The id of the call.
    pub id: String,
    /// The adapter that the call uses.
    pub adapter: AdapterRef,
    /// The priority; calls with lower numbers enter the batch first.
    pub priority: u8,
    /// The order among calls of the same priority; lower numbers enter the batch first.
    pub sequence: u64,
    /// The number of tokens in the complete answer.
    pub answer_tokens: u64,
    /// The number of tokens produced so far.
    pub produced_tokens: u64,
    /// The prompt.
    pub prompt: String,
}

/// A token that a step produced for a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProducedToken {
    /// The id of the call.
    pub call_id: String,
    /// The position of the token in the answer, starting at 0.
    pub index: u64,
    /// Whether the token completes the answer.
    pub is_last: bool,
}
