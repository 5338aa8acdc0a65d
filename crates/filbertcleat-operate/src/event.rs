//! Events of the timeline.

use std::fmt;

use filbertcleat_base::NodeName;
use filbertcleat_base::RequestId;
use filbertcleat_base::Timestamp;
use serde::Deserialize;
use serde::Serialize;

/// An event in one process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Event {
    /// The time of the event on the hybrid logical clock.
    pub stamp: Timestamp,
    /// The name of the process.
    pub node: NodeName,
    /// The kind of the event.
    pub kind: EventKind,
    /// The request that the event concerns, if it concerns one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// Further data as `key=value` pairs.
    pub detail: String,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "event={} node={}", self.kind.as_str(), self.node)?;
        if let Some(request) = &self.request {
            write!(f, " request={request}")?;
        }
        if !self.detail.is_empty() {
            write!(f, " {}", self.detail)?;
        }
        Ok(())
    }
}

/// The kind of an event.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// The process has started.
    Start,
    /// The process has begun to drain, or an operator has requested the drain of a process.
    Drain,
    /// The process has drained and exits.
    Drained,
    /// A peer's state in the membership has changed.
    Member,
    /// A new configuration version is in force.
    Config,
    /// An operator has submitted a configuration patch.
    Patch,
    /// A caller's request has arrived.
    Arrive,
    /// The claim of an idempotency key has been decided.
    Claim,
    /// An entry has sent an attempt to an agent.
    Send,
    /// An agent has received an attempt.
    #[serde(rename = "offer")]
    AttemptReceived,
    /// An agent has started a call of the backend server, or an entry has learned of the start.
    Call,
    /// A call of the backend server has ended.
    #[serde(rename = "ended")]
    CallEnded,
    /// The stream of an attempt or of its call broke before the end.
    #[serde(rename = "broken")]
    AttemptBroken,
    /// An entry has answered a request.
    Answer,
    /// An entry has refused a request, or the request ended without a whole answer.
    Refuse,
    /// A caller has disconnected before the end of its answer.
    #[serde(rename = "gone")]
    CallerGone,
    /// An agent has ordered its engine to load an adapter.
    Load,
    /// The engine has loaded an adapter.
    Loaded,
    /// The load of an adapter has failed.
    LoadFailed,
    /// The agent's ownership of its backend server has changed.
    Lease,
    /// The engine has restarted, or has become reachable or unreachable.
    Engine,
    /// An asynchronous request has changed its state.
    #[serde(rename = "work")]
    AsyncRequestChanged,
}

impl EventKind {
    /// Returns the name of the kind in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Drain => "drain",
            Self::Drained => "drained",
            Self::Member => "member",
            Self::Config => "config",
            Self::Patch => "patch",
            Self::Arrive => "arrive",
            Self::Claim => "claim",
            Self::Send => "send",
            Self::AttemptReceived => "offer",
            Self::Call => "call",
            Self::CallEnded => "ended",
            Self::AttemptBroken => "broken",
            Self::Answer => "answer",
            Self::Refuse => "refuse",
            Self::CallerGone => "gone",
            Self::Load => "load",
            Self::Loaded => "loaded",
            Self::LoadFailed => "load-failed",
            Self::Lease => "lease",
            Self::Engine => "engine",
            Self::AsyncRequestChanged => "work",
        }
    }

    /// Returns whether events of this kind come with every request.
    pub fn is_per_request(self) -> bool {
        matches!(
            self,
            Self::Arrive
                | Self::Send
                | Self::AttemptReceived
                | Self::Call
                | Self::CallEnded
                | Self::Answer
                | Self::Claim
        )
    }
}
