//! The limit of a backend server as one entry keeps it.

use filbertcleat_base::MonoTime;

use super::LimitSource;
use super::NamedLimit;
use super::RequestLimit;
use super::request_permits::RequestPermits;

/// The limit of a backend server as one entry keeps it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LimitState {
    /// The limit that the server's last answer to this entry named.
    answer: Option<RequestLimit>,
    /// The limit that the server's last answer to its agent named.
    agent: Option<RequestLimit>,
    /// The permits of the last limit that was named. They go on where they were if a limit is named
    /// again.
    permits: Option<RequestPermits>,
}

impl LimitState {
    /// Returns the limit that the server names, the lower one if two are known.
    pub fn limit(&self) -> Option<RequestLimit> {
        self.answer.into_iter().chain(self.agent).min()
    }

    /// Records what an answer says about the limit. Returns whether that changed.
    ///
    /// The first interval of the entry's permits begins after the part `phase` of an interval.
    pub fn record(
        &mut self,
        now: MonoTime,
        source: LimitSource,
        named: NamedLimit,
        entries: u32,
        phase: f64,
    ) -> bool {
        let before = self.limit();
        let known = match source {
            LimitSource::Answer => &mut self.answer,
            LimitSource::Agent => &mut self.agent,
        };
        match named {
            NamedLimit::Absent => *known = None,
            NamedLimit::Named(limit) => *known = Some(limit),
            NamedLimit::Untold | NamedLimit::Unreadable => {}
        }
        let limit = self.limit();
        match (&mut self.permits, limit) {
            (_, None) => {}
            (Some(permits), Some(limit)) => permits.set(now, limit, entries),
            (None, Some(limit)) => {
                self.permits = Some(RequestPermits::new(now, limit, entries, phase));
            }
        }
        limit != before
    }

    /// Records that a request is sent to the server.
    pub fn on_sent(&mut self, now: MonoTime) {
        if let Some(permits) = &mut self.permits {
            permits.on_sent(now);
        }
    }

    /// Returns the time until a request may be sent, in milliseconds; 0 if one may be sent now.
    pub fn wait_ms(&self, now: MonoTime) -> f64 {
        let permits = self.permits.filter(|_| self.limit().is_some());
        permits.map_or(0.0, |permits| permits.wait_ms(now))
    }
}
