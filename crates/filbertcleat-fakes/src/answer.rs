//! The deterministic answers of fake engines, which tests compute to verify responses.

use filbertcleat_base::AdapterRef;

/// Returns the number of tokens in the answer to a prompt.
///
/// The number depends only on the arguments and lies between half of `max_tokens` and `max_tokens`.
pub fn answer_token_count(prompt: &str, max_tokens: u64) -> u64 {
    let min_tokens = max_tokens.div_ceil(2).max(1);
    min_tokens + filbertcleat_base::stable_hash(prompt) % (max_tokens - min_tokens + 1).max(1)
}

/// Returns the text of one token, which identifies the adapter, the prompt and the position.
pub fn token_text(adapter: &AdapterRef, prompt: &str, index: u64) -> String {
    let prompt_hash = filbertcleat_base::stable_hash(prompt) % 1_000_000;
    format!("{adapter}/{prompt_hash:06}/{index} ")
}

/// Returns the complete answer of an adapter version to a prompt.
pub fn answer_text(adapter: &AdapterRef, prompt: &str, max_tokens: u64) -> String {
    let tokens = answer_token_count(prompt, max_tokens);
    (0..tokens).map(|index| token_text(adapter, prompt, index)).collect()
}
