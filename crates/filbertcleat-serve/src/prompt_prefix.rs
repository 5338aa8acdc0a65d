//! The beginnings of prompts that requests share.

use filbertcleat_base::ModelName;
use filbertcleat_base::mix_hashes;
use filbertcleat_base::stable_hash;

use crate::AdapterKey;
use crate::PromptPart;

/// The beginning of a prompt up to the end of one of its shared parts.
///
/// What an engine keeps of a part depends on all that precedes it and on the model and the adapter,
/// so that the hash covers these too.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPrefix {
    /// The hash of the model, the adapter and the parts.
    pub hash: u64,
    /// The length in tokens.
    pub tokens: u64,
}

impl PromptPrefix {
    /// Returns the prefixes of a prompt with these shared parts and their lengths, the shortest
    /// first. They end before the first part of unknown length.
    pub fn all(
        model: Option<&ModelName>,
        adapter: Option<&AdapterKey>,
        parts: impl IntoIterator<Item = (PromptPart, u64)>,
    ) -> impl Iterator<Item = Self> {
        let model = model.map_or(0, |model| stable_hash(model.as_str()));
        let adapter = adapter.map_or(0, |key| stable_hash(key.adapter.as_str()));
        let start = Self { hash: mix_hashes(model, adapter), tokens: 0 };
        let known = parts.into_iter().take_while(|(_, tokens)| *tokens > 0);
        known.scan(start, |prefix, (part, tokens)| {
            prefix.hash = mix_hashes(prefix.hash, part.get());
            prefix.tokens = prefix.tokens.saturating_add(tokens);
            Some(*prefix)
        })
    }
}
