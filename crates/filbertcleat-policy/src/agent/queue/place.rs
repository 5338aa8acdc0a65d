//! A request's place in the queue.

use filbertcleat_base::Class;
use filbertcleat_base::MonoTime;

use crate::Target;
use crate::agent::AttemptRequest;

/// A place in the queue; earlier places go first, and key-account work before all other.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(in crate::agent) struct Place {
    pub class: Class,
    pub tag: MonoTime,
    pub number: u64,
    pub target: Target,
}

/// A request that waits.
#[derive(Clone, Debug)]
pub(in crate::agent) struct Waiting {
    pub offer: AttemptRequest,
    /// Whether its adapter asks for more than its share, so that it only fills gaps.
    pub over_share: bool,
}
