//! The reasons for which agents refuse attempts.

/// The reason for which an agent refuses an attempt without running it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefuseReason {
    /// The agent is draining.
    Leaving,
    /// The agent's queue is full.
    Full,
    /// The adapter can't be loaded.
    LoadFailed,
    /// The agent has not received the configuration version that the attempt names.
    Behind,
    /// The agent holds no lease on its backend server and must not send orders to it.
    NoLease,
    /// The backend server is not reachable.
    BackendDown,
    /// The attempt names a service that the agent does not serve.
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

    /// Returns the name of the reason in messages.
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

    /// Returns the reason with a name, or `None` if there is none.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.as_str() == name)
    }
}
