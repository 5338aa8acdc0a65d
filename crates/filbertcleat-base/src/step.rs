//! The steps at which a fault can arise.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The step of a request's or a process's life at which a fault arose.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Reading the settings.
    Settings,
    /// Reading the caller's request.
    Parse,
    /// Finding the adapter or service in the configuration.
    Resolve,
    /// Deciding at the door whether to accept.
    Admit,
    /// Claiming a non-idempotent request.
    Claim,
    /// Choosing a backend server.
    Route,
    /// Connecting to a peer.
    Connect,
    /// Waiting in an agent's queue.
    Queue,
    /// Loading an adapter.
    Load,
    /// Handing the call to the backend server.
    Call,
    /// Reading the answer.
    Stream,
    /// Reading or writing the platform's store.
    Store,
    /// Trading news with peers.
    Exchange,
    /// Applying a configuration patch.
    Patch,
    /// Holding a lease.
    Lease,
}

impl Step {
    /// Returns the word used in messages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Settings => "settings",
            Self::Parse => "parse",
            Self::Resolve => "resolve",
            Self::Admit => "admit",
            Self::Claim => "claim",
            Self::Route => "route",
            Self::Connect => "connect",
            Self::Queue => "queue",
            Self::Load => "load",
            Self::Call => "call",
            Self::Stream => "stream",
            Self::Store => "store",
            Self::Exchange => "exchange",
            Self::Patch => "patch",
            Self::Lease => "lease",
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
