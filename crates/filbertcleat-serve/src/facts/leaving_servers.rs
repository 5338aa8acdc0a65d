//! The backend servers that have announced that they are leaving.

use std::collections::BTreeMap;

use filbertcleat_base::MonoTime;
use filbertcleat_base::mix_hashes;
use filbertcleat_base::stable_hash;

use super::LeavingMark;
use crate::ServerId;
use crate::fact_time::FactTime;

/// The backend servers that have announced that they are leaving.
///
/// An announcement belongs to one start of a server. It does not depend on the server's catalogue
/// record, which may be missing or older than the announcement. Of several starts the latest is
/// kept, whatever the order in which they become known.
#[derive(Clone, Debug, Default)]
pub(super) struct LeavingServers {
    announcements: BTreeMap<ServerId, Announcement>,
}

#[derive(Clone, Copy, Debug)]
struct Announcement {
    /// The Unix time of the server's start in milliseconds; 0 if it is not known.
    started_unix_ms: u64,
    at: FactTime,
}

impl LeavingServers {
    /// The most announcements kept: more than the backend servers of a large deployment, of which
    /// only those that have left recently matter.
    pub const COUNT_MAX: usize = 1_024;

    /// Records an announcement. Returns whether it was not known.
    pub fn merge(&mut self, now: MonoTime, mark: &LeavingMark) -> bool {
        let known = self.announcements.get(&mark.server);
        if known.is_some_and(|known| mark.started_unix_ms <= known.started_unix_ms) {
            return false;
        }
        let LeavingMark { started_unix_ms, age_ms, .. } = *mark;
        let announcement = Announcement { started_unix_ms, at: FactTime::ago(now, age_ms) };
        self.announcements.insert(mark.server.clone(), announcement);
        if self.announcements.len() > Self::COUNT_MAX {
            let oldest = self.announcements.iter().min_by_key(|(_, announcement)| announcement.at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.announcements.remove(&oldest);
            }
        }
        true
    }

    /// Returns whether this start of a server, or a later one, has announced that it is leaving.
    ///
    /// Without a known start time an announcement holds for all starts under its id.
    pub fn contains(&self, id: &ServerId, started_unix_ms: u64) -> bool {
        self.announcements.get(id).is_some_and(|announcement| {
            announcement.started_unix_ms == 0 || started_unix_ms <= announcement.started_unix_ms
        })
    }

    /// Returns all announcements.
    pub fn marks(&self, now: MonoTime) -> impl Iterator<Item = LeavingMark> {
        self.announcements.iter().map(move |(server, announcement)| LeavingMark {
            server: server.clone(),
            started_unix_ms: announcement.started_unix_ms,
            age_ms: announcement.at.age_ms(now),
        })
    }

    /// Returns a number that is equal for equal announcements, and 0 without any.
    pub fn digest(&self) -> u64 {
        let hashes = self.announcements.iter().map(|(server, announcement)| {
            mix_hashes(stable_hash(server.as_str()), announcement.started_unix_ms)
        });
        hashes.fold(0, |digest, hash| digest ^ hash)
    }
}
