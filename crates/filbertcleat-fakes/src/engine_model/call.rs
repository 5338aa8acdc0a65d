//! Calls in an engine, and what steps produce.

use filbertcleat_base::AdapterRef;

/// A call in an engine.
#[derive(Clone, Debug)]
pub struct ModelCall {
    /// Its id.
    pub id: String,
    /// The adapter that it runs on.
    pub adapter: AdapterRef,
    /// Its priority; lower goes first.
    pub priority: u8,
    /// Orders calls of the same priority.
    pub number: u64,
    /// The tokens of its whole answer.
    pub tokens: u64,
    /// The tokens produced so far.
    pub produced: u64,
    /// The prompt.
    pub prompt: String,
}

/// A token that a step produced.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Produced {
    /// The call.
    pub id: String,
    /// The token's place in the answer.
    pub index: u64,
    /// Whether it is the last one.
    pub last: bool,
}
