//! What an engine announced to its agent.

use filbertcleat_base::MonoTime;
use filbertcleat_serve::NamedLimit;

use crate::ServerNotice;
use crate::metrics::Metric;
use crate::metrics::Metrics;
use crate::pause_log::log_pause;

/// What an engine announced to its agent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EngineNotices {
    is_leaving: bool,
    paused_until: MonoTime,
    limit: NamedLimit,
}

impl EngineNotices {
    /// Applies and logs what the engine announced in an answer.
    ///
    /// A complete report without the announcement of leaving comes from a new start of the engine,
    /// which reports need not name.
    pub fn apply(
        &mut self,
        now: MonoTime,
        metrics: &Metrics,
        notice: ServerNotice,
        is_complete_report: bool,
    ) {
        match notice.limit {
            NamedLimit::Untold | NamedLimit::Unreadable => {}
            told @ (NamedLimit::Absent | NamedLimit::Named(_)) => self.limit = told,
        }
        let was_leaving = self.is_leaving;
        self.is_leaving = notice.is_leaving || (was_leaving && !is_complete_report);
        if self.is_leaving && !was_leaving {
            log::info!("event=leaving-announced by=engine");
            metrics.count(Metric::LeavingAnnouncements, &[("by", "engine")]);
        }
        if let Some(requested) = notice.pause {
            let pause_ms = requested.bounded_ms();
            self.paused_until = now.plus_ms(pause_ms).max(self.paused_until);
            log_pause(metrics, "engine", "-", requested, pause_ms);
        }
    }

    /// Returns whether the engine announced in its last answer that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns the limit that the engine named in its last answer.
    pub fn limit(&self) -> NamedLimit {
        self.limit
    }

    /// Returns when the pause that the engine last asked for ends.
    pub fn paused_until(&self) -> MonoTime {
        self.paused_until
    }

    /// Returns whether orders may be sent. A leaving engine gets no new requests, so a load is of no
    /// use to it.
    pub fn accepts_orders(&self, now: MonoTime) -> bool {
        !self.is_leaving && now >= self.paused_until
    }
}
