//! An agent's decision on a prompt.

/// An agent's decision when an entry should send a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptTurn {
    /// How long the entry should wait.
    pub delay_ms: u64,
    /// Whether the engine has no room for the prompt within the longest delay. The entry should place
    /// the request anew.
    pub is_full: bool,
    /// Whether the adapter's requests need another engine.
    pub is_adapter_hot: bool,
}
