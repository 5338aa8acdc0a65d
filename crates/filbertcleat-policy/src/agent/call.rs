//! A call in progress.

use filbertcleat_base::Class;
use filbertcleat_base::MonoTime;

use crate::Target;

/// A call that was handed to the backend server and has not ended.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub target: Target,
    pub class: Class,
    pub started_at: MonoTime,
    /// The sequence number of the next event that is sent to the entry.
    pub next_sequence: u64,
    /// Whether the call sends no more events; it counts as running until the engine has ended it.
    pub cancelled: bool,
    /// Whether the call is backfill: beyond its adapter's fair share, and preempted by other calls.
    pub over_share: bool,
}
