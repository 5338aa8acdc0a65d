//! A caller's request on its way.

mod reply;
mod work;

use filbertcleat_base::Class;
use filbertcleat_base::MonoTime;
use filbertcleat_base::RequestId;
use tokio::sync::mpsc;

pub(crate) use self::reply::CallerEvent;
pub(crate) use self::reply::Kept;
pub(crate) use self::work::Resolved;
pub(crate) use self::work::Work;

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
