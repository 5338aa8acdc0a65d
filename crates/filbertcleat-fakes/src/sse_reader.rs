//! Reads a caller's streamed answer.

use filbertcleat_platform::SseParser;
use serde_json::Value;

/// What a caller has read of a streamed answer.
#[derive(Debug, Default)]
pub(crate) struct SseReader {
    parser: SseParser,
    pub text: String,
    pub done: bool,
    pub error: Option<Value>,
}

impl SseReader {
    pub fn push(&mut self, bytes: &[u8]) {
        for data in self.parser.push(bytes).unwrap_or_default() {
            if data == "[DONE]" {
                self.done = true;
                continue;
            }
            let Ok(event) = serde_json::from_str::<Value>(&data) else {
                continue;
            };
            if !event["error"].is_null() {
                self.error = Some(event["error"].clone());
            }
            let choice = &event["choices"][0];
            let piece = choice["text"].as_str().or(choice["delta"]["content"].as_str());
            self.text.push_str(piece.unwrap_or_default());
        }
    }
}
