//! The events of a stream that came from one backend server.

use std::fmt;

use filbertcleat_serve::ServerId;
use filbertcleat_serve::SoftwareVersion;

use super::event_order::EventOrder;
use super::request_log::OrDash;

/// The events of a stream that came from one backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct StreamPart {
    server: ServerId,
    software_version: SoftwareVersion,
    first: Option<u64>,
    last: Option<u64>,
    forwarded: u32,
    skips: u32,
    repeated: u32,
    unnumbered: u32,
}

impl StreamPart {
    /// Creates the part of a backend server that has sent no event.
    pub fn new(server: ServerId, software_version: SoftwareVersion) -> Self {
        Self {
            server,
            software_version,
            first: None,
            last: None,
            forwarded: 0,
            skips: 0,
            repeated: 0,
            unnumbered: 0,
        }
    }

    /// Returns the backend server.
    pub fn server(&self) -> &ServerId {
        &self.server
    }

    /// Returns the id of the first event that was forwarded.
    pub fn first(&self) -> Option<u64> {
        self.first
    }

    /// Records an event that the backend server has sent.
    pub fn record(&mut self, id: Option<u64>, order: EventOrder) {
        match order {
            EventOrder::Next => {}
            EventOrder::Skipping => self.skips += 1,
            EventOrder::Unnumbered => self.unnumbered += 1,
            EventOrder::Comment => return,
            EventOrder::Repeated => {
                self.repeated += 1;
                return;
            }
        }
        self.forwarded += 1;
        self.first = self.first.or(id);
        self.last = id.or(self.last);
    }

    /// Returns whether ids were skipped or events repeated.
    pub fn is_irregular(&self) -> bool {
        self.skips > 0 || self.repeated > 0
    }
}

impl fmt::Display for StreamPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "server={} software={} first={} last={} forwarded={} skips={} repeated={} unnumbered={}",
            self.server,
            self.software_version,
            OrDash(self.first),
            OrDash(self.last),
            self.forwarded,
            self.skips,
            self.repeated,
            self.unnumbered,
        )
    }
}
