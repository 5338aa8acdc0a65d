//! A record that is being passed on.

use filbertcleat_base::MonoTime;

use crate::MemberRecord;
use crate::MemberState;

/// A record with what is needed to pass it on and to tell that its process is gone.
#[derive(Clone, Debug)]
pub(crate) struct Rumor {
    pub record: MemberRecord,
    /// The messages that it still goes into.
    pub sends_left: u32,
    /// Whether it tells that a process leaves, is suspected or is gone, which goes first.
    pub is_news: bool,
    /// When its state was last taken in.
    pub since: MonoTime,
    /// Messages in a row that got no answer.
    pub failures: u32,
}

impl Rumor {
    pub fn new(record: MemberRecord, sends_left: u32, since: MonoTime) -> Self {
        Self { record, sends_left, is_news: false, since, failures: 0 }
    }

    /// Returns whether the process can be spoken to.
    pub fn is_reachable(&self) -> bool {
        match self.record.state {
            MemberState::Starting
            | MemberState::Live
            | MemberState::Leaving
            | MemberState::Suspect => true,
            MemberState::Gone => false,
        }
    }
}
