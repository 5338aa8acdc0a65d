//! Events of a completion stream.

use serde::Deserialize;

/// An event of a completion stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineEvent {
    /// A part of the completion.
    Chunk {
        /// The text of the chunk.
        text: String,
        /// The reason for which the engine stopped, in the last chunk.
        finish_reason: Option<String>,
    },
    /// The end of a complete stream.
    Done,
}

impl EngineEvent {
    /// Parses the data of a server-sent event; returns `None` if it is malformed.
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

/// The JSON form of a chunk.
#[derive(Debug, Deserialize)]
struct RawChunk {
    choices: Vec<RawChoice>,
}

/// The JSON form of a choice in a chunk.
#[derive(Debug, Deserialize)]
struct RawChoice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<RawDelta>,
    #[serde(default)]
    finish_reason: Option<String>,
}

/// The JSON form of the text in a chat chunk.
#[derive(Debug, Deserialize)]
struct RawDelta {
    #[serde(default)]
    content: Option<String>,
}
