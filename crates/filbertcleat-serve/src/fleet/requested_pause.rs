//! The pause that a backend server asks for.

/// The pause that a backend server asks for when it turns a request away.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestedPause {
    /// The server wants no requests for this time.
    Lasting {
        /// The time as the server gave it, in milliseconds.
        asked_ms: u64,
    },
    /// The server gave a time that cannot be read.
    Unreadable,
}

impl RequestedPause {
    /// The longest pause, many times as long as a server needs to start and load its models. A
    /// longer one is rather an error of the server, which must not shut itself out for good.
    const MAX_MS: u64 = 300_000;
    /// The pause without a readable time: some requests of a full server end within it.
    const UNREADABLE_MS: u64 = 1_000;

    /// Returns the time for which the server gets no requests.
    pub fn bounded_ms(self) -> u64 {
        match self {
            Self::Lasting { asked_ms } => asked_ms.min(Self::MAX_MS),
            Self::Unreadable => Self::UNREADABLE_MS,
        }
    }

    /// Returns the time that the server gave, if it can be read.
    pub fn asked_ms(self) -> Option<u64> {
        match self {
            Self::Lasting { asked_ms } => Some(asked_ms),
            Self::Unreadable => None,
        }
    }
}
