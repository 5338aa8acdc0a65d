//! The state kept about a peer.

use filbertcleat_base::MonoTime;

use crate::MemberRecord;
use crate::MemberState;

/// The record of a peer with its dissemination and failure detection state.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub record: MemberRecord,
    /// The number of further messages that include the record.
    pub transmits_left: u32,
    /// Whether the record reports that the peer is leaving, suspected or gone; such records are
    /// sent before all others.
    pub is_urgent: bool,
    /// The time at which the peer's state last changed locally.
    pub state_since: MonoTime,
    /// The number of consecutive messages to the peer without an answer.
    pub failed_exchanges: u32,
}

impl Peer {
    pub fn new(record: MemberRecord, transmits_left: u32, state_since: MonoTime) -> Self {
        Self { record, transmits_left, is_urgent: false, state_since, failed_exchanges: 0 }
    }

    /// Returns whether messages to the peer may get an answer.
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
