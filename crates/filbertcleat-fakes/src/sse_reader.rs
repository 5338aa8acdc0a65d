//! Reads a streamed completion.

use filbertcleat_platform::SseParser;
use serde_json::Value;

/// Collects the text of a streamed completion from its server-sent events.
#[derive(Debug, Default)]
pub(crate) struct SseReader {
    parser: SseParser,
    pub text: String,
    pub is_done: bool,
    pub error: Option<Value>,
}

impl SseReader {
    pub fn push(&mut self, bytes: &[u8]) {
        for data in self.parser.push(bytes).unwrap_or_default() {
            if data == "[DONE]" {
                self.is_done = true;
                continue;
            }
            let Ok(event) = serde_json::from_str::<Value>(&data) else {
                continue;
            };
            if !event["error"].is_null() {
                self.error = Some(event["error"].clone());
            }
            let choice = &event["choices"][0];
            let text = choice["text"].as_str().or(choice["delta"]["content"].as_str());
            self.text.push_str(text.unwrap_or_default());
        }
    }
}
