//! Remembers which software version began each stream.
//!
//! A stream may only go on at the software version that began it. Its caller may take it up at any
//! entry, so the entry that forwards its first event tells the origin to a few agents, and an entry
//! that does not know a stream asks them.

use std::collections::HashMap;
use std::collections::VecDeque;

use filbertcleat_base::MonoTime;

use crate::RequestHash;
use crate::SoftwareVersion;

/// The software version that began a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamOrigin {
    /// The request that brought the first event of the stream.
    pub request: RequestHash,
    /// The software version of the backend server that sent the event.
    pub software_version: SoftwareVersion,
}

/// The origins of recent streams.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    versions: HashMap<RequestHash, SoftwareVersion>,
    /// The requests in the order in which they were recorded.
    recorded: VecDeque<(MonoTime, RequestHash)>,
}

impl StreamOrigins {
    /// How long an origin is remembered: twice the longest time that callers wait for a stream.
    pub const LIFETIME_MS: u64 = 60_000;
    /// The most origins that are remembered, about a megabyte of them.
    pub const COUNT_MAX: usize = 16_384;

    /// Records an origin. The first one recorded for a request holds.
    pub fn record(&mut self, now: MonoTime, origin: StreamOrigin) {
        self.expire(now);
        let StreamOrigin { request, software_version } = origin;
        if self.versions.contains_key(&request) {
            return;
        }
        if self.recorded.len() >= Self::COUNT_MAX {
            self.remove_oldest();
        }
        self.versions.insert(request, software_version);
        self.recorded.push_back((now, request));
    }

    /// Returns the software version that began the stream of a request, if it is remembered.
    pub fn software_version(&self, request: RequestHash) -> Option<&SoftwareVersion> {
        self.versions.get(&request)
    }

    fn expire(&mut self, now: MonoTime) {
        while let Some((at, _)) = self.recorded.front()
            && now.ms_since(*at) > Self::LIFETIME_MS
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, request)) = self.recorded.pop_front() {
            self.versions.remove(&request);
        }
    }
}
