//! Completion requests to an engine.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::FencingToken;
use serde_json::Value;
use serde_json::json;

/// A completion request to an engine.
#[derive(Clone, Copy, Debug)]
pub struct CompletionRequest<'a> {
    /// The id of the call, by which it can be cancelled and resumed.
    pub id: &'a str,
    /// The adapter version to run.
    pub adapter: &'a AdapterRef,
    /// Whether the request is a chat completion.
    pub chat: bool,
    /// The request body from the caller.
    pub body: &'a [u8],
    /// The priority on the engine; lower values run first.
    pub priority: u8,
    /// The fencing token, if the agent holds a lease.
    pub fence: Option<FencingToken>,
    /// The id of the call whose stream is resumed, if any.
    pub resume_of: Option<&'a str>,
    /// The number of chunks that were already received.
    pub resume_offset: u64,
}

impl CompletionRequest<'_> {
    /// Returns the request body: the caller's, with the fields that filbertcleat sets.
    pub(super) fn to_json(self) -> Vec<u8> {
        let mut body: Value = serde_json::from_slice(self.body).unwrap_or_else(|_| json!({}));
        body["model"] = json!(self.adapter.to_string());
        body["stream"] = json!(true);
        body["priority"] = json!(self.priority);
        if let Some(resume_of) = self.resume_of {
            body["resume_of"] = json!(resume_of);
            body["resume_offset"] = json!(self.resume_offset);
        }
        body.to_string().into_bytes()
    }
}
