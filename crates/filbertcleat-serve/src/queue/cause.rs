//! What a request waits for.

/// What a request waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitCause {
    /// The next look at the queue.
    Look,
    /// Its adapter's way to an engine.
    Load,
    /// Room at an engine.
    Room,
    /// An engine that holds its model and can be used.
    Engine,
}

impl WaitCause {
    /// Returns the words used in logs and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Look => "the queue was not looked at in time",
            Self::Load => "the adapter was not loaded in time",
            Self::Room => "no engine had room in time",
            Self::Engine => "no engine holds the model",
        }
    }
}
