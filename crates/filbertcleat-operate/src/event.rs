//! Events of the time line.

use std::fmt;

use filbertcleat_base::NodeName;
use filbertcleat_base::RequestId;
use filbertcleat_base::Timestamp;
use serde::Deserialize;
use serde::Serialize;

/// Something that happened in one process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Event {
    /// When, on the hybrid logical clock.
    pub stamp: Timestamp,
    /// The process.
    pub node: NodeName,
    /// What.
    pub kind: EventKind,
    /// The request that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// More, as key=value pairs.
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

/// The kinds of event.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// The process started.
    Start,
    /// The process began to stop.
    Drain,
    /// The process has ended all its work.
    Drained,
    /// A peer's state changed.
    Member,
    /// A configuration version came into force.
    Config,
    /// An operator submitted a patch.
    Patch,
    /// A request arrived.
    Arrive,
    /// A claim was decided.
    Claim,
    /// An attempt was sent to an agent.
    Send,
    /// An attempt reached an agent.
    Offer,
    /// A call was handed to the backend server.
    Call,
    /// A call has ended.
    #[serde(rename = "ended")]
    CallEnded,
    /// An attempt broke off.
    #[serde(rename = "broken")]
    AttemptBroken,
    /// A request was answered.
    Answer,
    /// A request was refused or ended without an answer.
    Refuse,
    /// A caller went away.
    #[serde(rename = "gone")]
    CallerGone,
    /// A load was ordered.
    Load,
    /// A load is done.
    Loaded,
    /// A load has failed.
    LoadFailed,
    /// The lease on the backend server changed.
    Lease,
    /// The engine restarted.
    Engine,
    /// Accepted work that is answered later changed its state.
    Work,
}

impl EventKind {
    /// Returns the word used in logs.
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
            Self::Offer => "offer",
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
            Self::Work => "work",
        }
    }

    /// Returns whether events of this kind come with every request.
    pub fn is_per_request(self) -> bool {
        matches!(
            self,
            Self::Arrive
                | Self::Send
                | Self::Offer
                | Self::Call
                | Self::CallEnded
                | Self::Answer
                | Self::Claim
        )
    }
}
