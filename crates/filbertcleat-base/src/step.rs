//! Processing steps, which errors are attributed to.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The processing step of a request or process at which an error occurred.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Reading settings and starting the process.
    Settings,
    /// Parsing the caller's request.
    Parse,
    /// Looking up the adapter or service in the configuration.
    Resolve,
    /// Admission control.
    Admit,
    /// Claiming the idempotency key of a non-idempotent request.
    Claim,
    /// Choosing a backend server.
    Route,
    /// Connecting to a peer.
    Connect,
    /// Waiting in an agent's queue.
    Queue,
    /// Loading an adapter.
    Load,
    /// Sending the call to the backend server.
    Call,
    /// Reading the answer stream.
    Stream,
    /// Reading or writing one of the platform's stores.
    Store,
    /// Exchanging state with peers.
    Exchange,
    /// Applying a configuration patch.
    Patch,
    /// Acquiring or holding a lease.
    Lease,
}

impl Step {
    /// Returns the name of the step in messages, answers and logs.
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
