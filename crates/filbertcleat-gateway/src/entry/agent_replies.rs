//! How many agents replied to a question.

/// How many agents were asked, and how many have replied.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct AgentReplies {
    pub asked: usize,
    pub replied: usize,
}
