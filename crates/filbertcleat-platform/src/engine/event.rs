//! Events of a completion's stream.

use serde::Deserialize;

/// An event of a completion's stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineEvent {
    /// A piece of the answer.
    Chunk {
        /// Its text.
        text: String,
        /// Why the engine stopped, on the last piece.
        finish_reason: Option<String>,
    },
    /// The end of a whole answer.
    Done,
}

impl EngineEvent {
    /// Reads an event from the data of a server-sent event.
    pub(super) fn parse(data: &str) -> Option<Self> {
        if data == "[DONE]" {
            return Some(Self::Done);
        }
        let chunk: RawChunk = serde_json::from_str(data).ok()?;
        let choice = chunk.choices.into_iter().next()?;
        let text = choice.text.or(choice.delta.and_then(|delta| delta.content)).unwrap_or_default();
        Some(Self::Chunk { text, finish_reason: choice.finish_reason })
    }
}

/// A chunk in the engine's words.
#[derive(Debug, Deserialize)]
struct RawChunk {
    choices: Vec<RawChoice>,
}

/// A choice of a chunk.
#[derive(Debug, Deserialize)]
struct RawChoice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<RawDelta>,
    #[serde(default)]
    finish_reason: Option<String>,
}

/// The text of a chat's chunk.
#[derive(Debug, Deserialize)]
struct RawDelta {
    #[serde(default)]
    content: Option<String>,
}
