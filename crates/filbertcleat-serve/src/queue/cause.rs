//! The reason that a request waits in the queue.

/// The reason that a request waits in the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitCause {
    /// No pass over the queue has evaluated the request yet.
    Pending,
    /// An engine is to load the request's adapter.
    AdapterLoad,
    /// The engines with the request's adapter have no free capacity.
    Capacity,
    /// No engine has loaded the request's model.
    Engine,
    /// All engines with the request's model have asked for a pause.
    Paused,
}

impl WaitCause {
    /// Returns the text that logs and responses contain.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Pending => "the queue was not looked at in time",
            Self::AdapterLoad => "the adapter was not loaded in time",
            Self::Capacity => "no engine had room in time",
            Self::Engine => "no engine holds the model",
            Self::Paused => "every engine asked for a pause",
        }
    }
}
