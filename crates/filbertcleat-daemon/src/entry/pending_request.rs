//! Requests of callers that are not answered yet.

mod payload;
mod reply;

use filbertcleat_base::Class;
use filbertcleat_base::MonoTime;
use filbertcleat_base::RequestId;
use tokio::sync::mpsc;

pub(crate) use self::payload::RequestPayload;
pub(crate) use self::payload::ResolvedTarget;
pub(crate) use self::reply::CallerEvent;
pub(crate) use self::reply::StoredAnswer;

/// A caller's request, with the channel to the caller's connection.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub request: RequestId,
    pub payload: RequestPayload,
    pub class: Class,
    /// Whether the caller has marked the request as non-idempotent.
    pub non_idempotent: bool,
    pub idempotency_key: Option<String>,
    /// The time that the caller allows for the answer.
    pub deadline_ms: Option<u64>,
    pub reply: mpsc::UnboundedSender<CallerEvent>,
    /// The service and adapter, once they are resolved.
    pub resolved: Option<ResolvedTarget>,
    /// The revision of the claim's row, if this request holds the claim of its key.
    pub claim_revision: Option<u64>,
    /// The stored answer to an earlier request with the same key.
    pub stored_answer: Option<StoredAnswer>,
}

impl PendingRequest {
    /// Returns the time left until the caller's deadline, at least 1 ms, or 0 without a deadline.
    pub fn deadline_left_ms(&self, now: MonoTime) -> u64 {
        let (Some(deadline_ms), Some(resolved)) = (self.deadline_ms, &self.resolved) else {
            return 0;
        };
        deadline_ms.saturating_sub(now.ms_since(resolved.arrived_at)).max(1)
    }
}
