//! Applies what backend servers announce in their answers.

use filbertcleat_serve::ServerId;

use super::state::Entry;
use crate::Dialect;
use crate::ServerNotice;
use crate::metrics::Metric;

/// How an entry learned of an announcement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum NoticeSource {
    /// From an answer of the backend server to this entry.
    Answer,
    /// From an update of the agent beside the backend server.
    Agent,
}

impl NoticeSource {
    fn as_str(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Agent => "agent",
        }
    }
}

/// Applies what one start of a backend server announced.
pub(super) fn apply_notice<D: Dialect>(
    entry: &Entry<D>,
    server: &ServerId,
    started_unix_ms: u64,
    notice: ServerNotice,
    source: NoticeSource,
) {
    if !notice.is_leaving {
        return;
    }
    let now = entry.now();
    let is_new = entry.state.borrow_mut().fleet.on_leaving(now, server, started_unix_ms);
    if is_new {
        let by = source.as_str();
        log::info!("event=leaving-announced by={by} server={server} started_ms={started_unix_ms}");
        entry.metrics.count(Metric::LeavingAnnouncements, &[("by", by)]);
        // Requests that wait for this server have to look for another.
        entry.dispatcher_wakeup.notify_one();
    }
}
