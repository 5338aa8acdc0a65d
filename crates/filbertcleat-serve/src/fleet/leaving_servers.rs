//! The backend servers that have announced that they are leaving.

use std::collections::BTreeMap;

use filbertcleat_base::MonoTime;

use crate::ServerId;

/// The backend servers that have announced that they are leaving.
///
/// An announcement belongs to one start of a server. It does not depend on the server's catalogue
/// record, which may be missing or older than the announcement.
#[derive(Clone, Debug, Default)]
pub(super) struct LeavingServers {
    announcements: BTreeMap<ServerId, Announcement>,
}

#[derive(Clone, Copy, Debug)]
struct Announcement {
    /// The Unix time of the server's start in milliseconds; 0 if it is not known.
    started_unix_ms: u64,
    at: MonoTime,
}

impl LeavingServers {
    /// The most announcements kept: many times the backend servers of a large deployment, of which
    /// only those that have left recently matter.
    const ANNOUNCEMENTS_MAX: usize = 4_096;

    /// Records the announcement of one start of a server. Returns whether it was not known.
    pub fn record(&mut self, now: MonoTime, id: &ServerId, started_unix_ms: u64) -> bool {
        let known = self.announcements.get(id);
        if known.is_some_and(|known| started_unix_ms <= known.started_unix_ms) {
            return false;
        }
        self.announcements.insert(id.clone(), Announcement { started_unix_ms, at: now });
        if self.announcements.len() > Self::ANNOUNCEMENTS_MAX {
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
}
