//! The position of a request in the queue.

use filbertcleat_base::Class;
use filbertcleat_base::MonoTime;

use crate::Target;
use crate::agent::AttemptRequest;

/// A position in the queue, ordered by class (key-account first), start tag and sequence number.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(in crate::agent) struct QueuePosition {
    pub class: Class,
    /// The start tag.
    pub tag: MonoTime,
    /// A number that is unique in the queue and grows with each request.
    pub sequence: u64,
    pub target: Target,
}

/// A queued request.
#[derive(Clone, Debug)]
pub(in crate::agent) struct QueuedRequest {
    pub request: AttemptRequest,
    /// Whether the request is beyond its adapter's fair share and may only run as backfill.
    pub over_share: bool,
}
