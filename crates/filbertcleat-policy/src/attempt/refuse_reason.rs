//! Why agents refuse attempts.

/// Why an agent refuses an attempt as not run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefuseReason {
    /// The agent is stopping.
    Leaving,
    /// Its queue is full.
    Full,
    /// The adapter can't be loaded.
    LoadFailed,
    /// The agent can't reach the configuration version that the attempt names.
    Behind,
    /// The agent holds no lease on its backend server, so it may give no orders.
    NoLease,
    /// The backend server refused the connection.
    BackendDown,
    /// The service runs elsewhere.
    WrongService,
}

impl RefuseReason {
    /// All reasons.
    pub const ALL: [Self; 7] = [
        Self::Leaving,
        Self::Full,
        Self::LoadFailed,
        Self::Behind,
        Self::NoLease,
        Self::BackendDown,
        Self::WrongService,
    ];

    /// Returns the word used in messages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Full => "full",
            Self::LoadFailed => "load-failed",
            Self::Behind => "behind",
            Self::NoLease => "no-lease",
            Self::BackendDown => "backend-down",
            Self::WrongService => "wrong-service",
        }
    }

    /// Returns the reason with the given word.
    pub fn from_word(word: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.as_str() == word)
    }
}
