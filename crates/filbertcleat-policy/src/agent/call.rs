//! A call in progress.

use filbertcleat_base::Class;
use filbertcleat_base::MonoTime;

use crate::Target;

/// A call that the backend server has been handed.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub target: Target,
    pub class: Class,
    pub started: MonoTime,
    pub sequence: u64,
    pub cancelled: bool,
    /// Whether it only fills a gap, and gives way to others in the engine.
    pub over_share: bool,
}
