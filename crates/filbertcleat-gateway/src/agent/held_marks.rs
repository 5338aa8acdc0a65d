//! The crash marks that an agent holds for the entries.

use filbertcleat_base::MonoTime;
use filbertcleat_serve::CrashEvidence;
use filbertcleat_serve::CrashMark;

use crate::peer_socket::PeerUpdate;

/// The crash marks that an agent holds for the entries.
#[derive(Debug, Default)]
pub(super) struct HeldMarks {
    evidence: CrashEvidence,
}

impl HeldMarks {
    /// Merges the marks of an entry. Returns the update for all entries if they tell something new.
    pub fn merge(&mut self, now: MonoTime, marks: &[CrashMark]) -> Option<PeerUpdate> {
        let marks = self.evidence.merge(now, marks);
        (!marks.is_empty()).then_some(PeerUpdate::CrashMarks { marks, is_complete: false })
    }

    /// Returns the update for an entry whose marks have this digest, unless they are the same.
    pub fn complete_unless(&self, now: MonoTime, digest: u64) -> Option<PeerUpdate> {
        let is_equal = digest == self.evidence.digest();
        let marks = || self.evidence.marks(now);
        (!is_equal).then(|| PeerUpdate::CrashMarks { marks: marks(), is_complete: true })
    }
}
