//! Remembers which service and software version began each stream.
//!
//! A stream may only go on at the service and software version that began it. Its caller may take it up at any
//! entry, so the entry that forwards its first event tells the origin to a few agents, and an entry
//! that does not know a stream asks them.

use filbertcleat_base::MonoTime;
use filbertcleat_base::ServiceName;

use crate::RequestHash;
use crate::SoftwareVersion;
use crate::recent_streams::RecentStreams;

/// The service and software version that began a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamOrigin {
    /// The request that brought the first event of the stream.
    pub request: RequestHash,
    /// The service of the backend server that sent the event. `None` if a build told the origin that
    /// does not name it.
    pub service: Option<ServiceName>,
    /// The software version of the backend server that sent the event.
    pub software_version: SoftwareVersion,
}

/// The origins of recent streams.
#[derive(Clone, Debug)]
pub struct StreamOrigins {
    streams: RecentStreams<StreamOrigin>,
}

impl StreamOrigins {
    /// How long an origin is remembered after its last record.
    pub const LIFETIME_MS: u64 = RecentStreams::<StreamOrigin>::LIFETIME_MS;
    /// The time between two records of an origin while its stream runs, so that the origin is
    /// remembered for 45 s after the stream breaks off at least, which is longer than callers wait.
    pub const RENEWAL_MS: u64 = 15_000;
    /// The most origins that are remembered, about two megabytes of them.
    pub const COUNT_MAX: usize = 16_384;

    /// Records an origin. The first one recorded for a request holds, and is remembered for longer if
    /// it is recorded again.
    pub fn record(&mut self, now: MonoTime, origin: StreamOrigin) {
        self.streams.record(now, origin.request, 0, origin);
    }

    /// Returns the origin of the stream of a request, if it is remembered.
    pub fn of(&self, request: RequestHash) -> Option<&StreamOrigin> {
        self.streams.get(request)
    }
}

impl Default for StreamOrigins {
    fn default() -> Self {
        Self { streams: RecentStreams::new(Self::COUNT_MAX) }
    }
}
