//! A caller's request on its way.

use bytes::Bytes;
use filbertcleat_base::AdapterRef;
use filbertcleat_base::Class;
use filbertcleat_base::ConfigVersion;
use filbertcleat_base::MonoTime;
use filbertcleat_base::RequestId;
use filbertcleat_base::ServiceName;
use filbertcleat_policy::Refusal;
use tokio::sync::mpsc;

/// A caller's request, with the way back to the caller.
#[derive(Debug)]
pub(crate) struct Caller {
    pub request: RequestId,
    pub work: Work,
    pub class: Class,
    /// Whether the caller marked it as not to be repeated.
    pub non_idempotent: bool,
    pub key: Option<String>,
    pub deadline_ms: Option<u64>,
    pub reply: mpsc::UnboundedSender<CallerEvent>,
    /// Filled in once the request is resolved.
    pub resolved: Option<Resolved>,
    pub claim_revision: Option<u64>,
    pub kept: Option<Kept>,
}

impl Caller {
    /// Returns the time left until the caller's deadline, at least 1 ms; 0 stands for none.
    pub fn deadline_left_ms(&self, now: MonoTime) -> u64 {
        let (Some(deadline_ms), Some(resolved)) = (self.deadline_ms, &self.resolved) else {
            return 0;
        };
        deadline_ms.saturating_sub(now.ms_since(resolved.arrived)).max(1)
    }
}

/// What a caller asks for.
#[derive(Clone, Debug)]
pub(crate) enum Work {
    /// A completion by an adapter.
    Completion { model: String, chat: bool, body: Bytes },
    /// A call of a plain service.
    Service { service: String, method: String, path: String, content_type: String, body: Bytes },
}

/// What a request runs on, by the configuration in force when it came.
#[derive(Clone, Debug)]
pub(crate) struct Resolved {
    pub service: ServiceName,
    pub adapter: Option<AdapterRef>,
    pub config_version: ConfigVersion,
    pub arrived: MonoTime,
}

/// The kept answer of an earlier call with the same key.
#[derive(Clone, Debug)]
pub(crate) struct Kept {
    pub status: u16,
    pub content_type: String,
    pub body: String,
}

/// What the loop tells a caller's connection.
#[derive(Debug)]
pub(crate) enum CallerEvent {
    /// The request was accepted.
    Accepted { model: String },
    /// A piece of the answer.
    Text(String),
    /// The end of a whole answer.
    Finished { finish_reason: String, tokens: u64 },
    /// A plain service's answer.
    Answer { status: u16, content_type: String, body: Vec<u8> },
    /// There is no whole answer.
    Refused(Refusal),
    /// What the request names does not exist.
    NotFound(String),
}
