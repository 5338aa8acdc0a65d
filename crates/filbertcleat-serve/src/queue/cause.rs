//! What a request waits for.

/// What a request waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitCause {
    /// The next look at the queue.
    Pending,
    /// Its adapter's way to an engine.
    AdapterLoad,
    /// Room at an engine.
    Capacity,
    /// An engine that holds its model and can be used.
    Engine,
}

impl WaitCause {
    /// Returns the words used in logs and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Pending => "the queue was not looked at in time",
            Self::AdapterLoad => "the adapter was not loaded in time",
            Self::Capacity => "no engine had room in time",
            Self::Engine => "no engine holds the model",
        }
    }
}
