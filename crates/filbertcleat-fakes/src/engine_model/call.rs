//! Calls in an engine, and what steps produce.

use filbertcleat_base::AdapterRef;

/// A call in an engine.
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// Its id.
    pub id: String,
    /// The adapter that it runs on.
    pub adapter: AdapterRef,
    /// Its priority; lower goes first.
    pub priority: u8,
    /// Orders calls of the same priority.
    pub sequence: u64,
    /// The tokens of its whole answer.
    pub answer_tokens: u64,
    /// The tokens produced so far.
    pub produced_tokens: u64,
    /// The prompt.
    pub prompt: String,
}

/// A token that a step produced.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProducedToken {
    /// The call.
    pub call_id: String,
    /// The token's place in the answer.
    pub index: u64,
    /// Whether it is the last one.
    pub is_last: bool,
}
