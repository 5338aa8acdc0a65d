//! Applies what backend servers announce in their answers.

use filbertcleat_serve::LimitSource;
use filbertcleat_serve::NamedLimit;
use filbertcleat_serve::Server;
use filbertcleat_serve::ServerId;

use super::facts::tell_holders;
use super::state::Entry;
use crate::Dialect;
use crate::ServerNotice;
use crate::metrics::Metric;
use crate::pause_log::log_pause;

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

/// Applies what one start of a backend server announced, and wakes the dispatcher: requests that
/// wait for this server have to look for another.
pub(super) fn apply_notice<D: Dialect>(
    entry: &Entry<D>,
    server: &ServerId,
    started_unix_ms: u64,
    notice: ServerNotice,
    source: NoticeSource,
) {
    let now = entry.now();
    let by = source.as_str();
    if let Some(requested) = notice.pause {
        let pause_ms = entry.state.borrow_mut().fleet.on_pause_requested(now, server, requested);
        log_pause(&entry.metrics, by, server.as_str(), requested, pause_ms);
        entry.dispatcher_wakeup.notify_one();
    }
    let limit_source = match source {
        NoticeSource::Answer => LimitSource::Answer,
        NoticeSource::Agent => LimitSource::Agent,
    };
    let limit = {
        let fleet = &mut entry.state.borrow_mut().fleet;
        let is_changed = fleet.on_limit(now, server, limit_source, notice.limit);
        let limit = fleet.server(server).and_then(Server::limit);
        is_changed.then_some(limit)
    };
    if let Some(limit) = limit {
        let per_s = limit.map_or("-".to_owned(), |limit| limit.to_string());
        log::info!("event=limit-changed by={by} server={server} per_s={per_s}");
        entry.metrics.count(Metric::LimitChanges, &[("by", by)]);
        entry.dispatcher_wakeup.notify_one();
    }
    if notice.limit == NamedLimit::Unreadable {
        log::warn!("event=limit-unreadable by={by} server={server}");
    }
    if !notice.is_leaving {
        return;
    }
    let news = entry.state.borrow_mut().fleet.on_leaving(now, server, started_unix_ms);
    if !news.is_empty() {
        log_leaving(entry, by, server, started_unix_ms);
        tell_holders(entry, news);
    }
}

/// Logs and counts that a server has announced its leaving, and wakes the dispatcher.
pub(super) fn log_leaving<D: Dialect>(
    entry: &Entry<D>,
    by: &str,
    server: &ServerId,
    started_unix_ms: u64,
) {
    log::info!("event=leaving-announced by={by} server={server} started_ms={started_unix_ms}");
    entry.metrics.count(Metric::LeavingAnnouncements, &[("by", by)]);
    entry.dispatcher_wakeup.notify_one();
}
