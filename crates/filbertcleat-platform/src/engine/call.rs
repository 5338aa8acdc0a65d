//! A completion to ask an engine for.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::Fence;
use serde_json::Value;
use serde_json::json;

/// A completion to ask an engine for.
#[derive(Clone, Copy, Debug)]
pub struct CompletionRequest<'a> {
    /// The call's id, under which it can be cancelled and resumed.
    pub id: &'a str,
    /// The adapter at the version that it runs on.
    pub adapter: &'a AdapterRef,
    /// Whether it is a chat completion.
    pub chat: bool,
    /// The caller's body.
    pub body: &'a [u8],
    /// Its priority in the engine; lower goes first.
    pub priority: u8,
    /// The fencing number, if one is held.
    pub fence: Option<Fence>,
    /// The id of the call whose stream is resumed, if any.
    pub resume_of: Option<&'a str>,
    /// The number of chunks that are known already.
    pub resume_offset: u64,
}

impl CompletionRequest<'_> {
    /// Returns the body for the engine: the caller's, with what filbertcleat decides.
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
