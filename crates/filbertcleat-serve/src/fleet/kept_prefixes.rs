//! The beginnings of prompts that an engine has recently read.

use crate::PromptPrefix;

/// The beginnings of prompts that an engine has recently read for this entry, a fixed number.
///
/// An engine keeps what it has read until it needs the memory for later prompts. The age of a prefix
/// is therefore counted in the prompt tokens that the engine has been sent since. A later prefix
/// replaces an earlier one with the same place, so that the record needs no order.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeptPrefixes {
    /// The hash of each prefix, and the total of prompt tokens sent to the engine when it was read.
    places: Vec<(u64, u64)>,
}

impl KeptPrefixes {
    /// The number of places, which take 2 KB. An engine keeps hardly more prefixes of thousands of
    /// tokens beside its running requests.
    const PLACES: usize = 128;

    /// Records that the engine, which was sent this total of prompt tokens, has read prompts with
    /// these prefixes.
    pub fn record(&mut self, total_tokens: u64, prefixes: &[PromptPrefix]) {
        if prefixes.is_empty() {
            return;
        }
        self.places.resize(Self::PLACES, (0, 0));
        for prefix in prefixes {
            self.places[Self::place(prefix.hash)] = (prefix.hash, total_tokens);
        }
    }

    /// Returns the length of the longest of these prefixes that the engine is likely to have kept,
    /// which was sent this total of prompt tokens and has free memory for `free_tokens`.
    pub fn kept_tokens(
        &self,
        total_tokens: u64,
        free_tokens: u64,
        prefixes: &[PromptPrefix],
    ) -> u64 {
        let is_kept = |prefix: &&PromptPrefix| {
            self.places.get(Self::place(prefix.hash)).is_some_and(|(hash, read_at_tokens)| {
                let later_tokens = total_tokens.saturating_sub(*read_at_tokens);
                *hash == prefix.hash && later_tokens + prefix.tokens <= free_tokens
            })
        };
        prefixes.iter().rev().find(is_kept).map_or(0, |prefix| prefix.tokens)
    }

    fn place(hash: u64) -> usize {
        (hash % Self::PLACES as u64) as usize
    }
}
