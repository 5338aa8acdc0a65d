//! JSON bodies of responses to callers.

use filbertcleat_base::Executed;
use filbertcleat_policy::Refusal;
use serde_json::Value;
use serde_json::json;

/// The completion API that a caller uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CompletionApi {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

impl CompletionApi {
    /// Returns the body of one event of a streamed answer.
    pub fn chunk(self, id: &str, model: &str, text: &str, finish_reason: Option<&str>) -> Value {
        let choice = match self {
            Self::Text => json!({ "index": 0, "text": text, "finish_reason": finish_reason }),
            Self::Chat => {
                let delta = if text.is_empty() { json!({}) } else { json!({ "content": text }) };
                json!({ "index": 0, "delta": delta, "finish_reason": finish_reason })
            }
        };
        let object = match self {
            Self::Text => "text_completion",
            Self::Chat => "chat.completion.chunk",
        };
        json!({ "id": id, "object": object, "model": model, "choices": [choice] })
    }

    /// Returns the body of a whole answer.
    pub fn whole_answer(
        self,
        id: &str,
        model: &str,
        text: &str,
        finish_reason: &str,
        tokens: u64,
    ) -> Value {
        let choice = match self {
            Self::Text => json!({ "index": 0, "text": text, "finish_reason": finish_reason }),
            Self::Chat => json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": finish_reason,
            }),
        };
        let object = match self {
            Self::Text => "text_completion",
            Self::Chat => "chat.completion",
        };
        json!({
            "id": id,
            "object": object,
            "model": model,
            "choices": [choice],
            "usage": { "completion_tokens": tokens },
        })
    }
}

/// Returns the error body for a request that was not executed.
pub(super) fn error(message: &str, step: &str) -> Value {
    json!({ "error": { "message": message, "run": "no", "step": step, "peer": "entry" } })
}

/// Returns the error body for a refused or failed request.
pub(super) fn refusal(refusal: &Refusal) -> Value {
    let fault = &refusal.fault;
    let mut body = json!({
        "error": {
            "message": fault.reason,
            "run": refusal.executed.as_str(),
            "step": fault.step,
            "peer": fault.peer,
        }
    });
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        body["error"]["retry_after_ms"] = json!(retry_after_ms);
    }
    body
}

/// Returns the HTTP status for a refused or failed request.
pub(super) fn refusal_status(refusal: &Refusal) -> u16 {
    use filbertcleat_base::Step;

    match (refusal.executed, refusal.fault.step) {
        (Executed::No, Step::Admit) => 429,
        (Executed::No, _) => 503,
        (Executed::Unknown, Step::Claim) => 409,
        (Executed::Unknown, _) => 502,
    }
}
