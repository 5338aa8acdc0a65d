//! The answers that fake engines give.

use filbertcleat_base::AdapterRef;

/// Returns the number of tokens of the answer to a prompt, at most `max_tokens`.
pub fn answer_token_count(prompt: &str, max_tokens: u64) -> u64 {
    let least = max_tokens.div_ceil(2).max(1);
    least + filbertcleat_base::stable_hash(prompt) % (max_tokens - least + 1).max(1)
}

/// Returns the text of one token of an answer, which names its adapter, prompt and place.
pub fn token_text(adapter: &AdapterRef, prompt: &str, index: u64) -> String {
    let prompt = filbertcleat_base::stable_hash(prompt) % 1_000_000;
    format!("{adapter}/{prompt:06}/{index} ")
}

/// Returns the whole answer that an adapter's version gives to a prompt.
pub fn answer_text(adapter: &AdapterRef, prompt: &str, max_tokens: u64) -> String {
    let tokens = answer_token_count(prompt, max_tokens);
    (0..tokens).map(|index| token_text(adapter, prompt, index)).collect()
}
