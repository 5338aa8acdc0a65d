//! The parts of prompts that requests share.

use std::fmt;

/// A part of a prompt that several requests may hold.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PromptPart(u64);

impl PromptPart {
    /// Creates the part from the number that identifies its text.
    pub fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}
