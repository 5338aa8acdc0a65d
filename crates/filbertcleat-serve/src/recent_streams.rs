//! What is remembered of recent streams.

use std::collections::BTreeSet;
use std::collections::HashMap;

use filbertcleat_base::MonoTime;

use crate::RequestHash;

/// A bounded memory of recent streams under the requests that began them.
///
/// Times are those at which a stream is forgotten, since a process that has just started cannot
/// express on its own clock when an older stream began.
#[derive(Clone, Debug)]
pub(crate) struct RecentStreams<V> {
    streams: HashMap<RequestHash, (MonoTime, V)>,
    /// The same streams in the order in which they are forgotten.
    ends: BTreeSet<(MonoTime, RequestHash)>,
    count_max: usize,
}

impl<V> RecentStreams<V> {
    /// How long a stream is remembered: twice the longest time that callers wait for a stream.
    pub const LIFETIME_MS: u64 = 60_000;

    /// Creates an empty memory of at most `count_max` streams.
    pub fn new(count_max: usize) -> Self {
        Self { streams: HashMap::new(), ends: BTreeSet::new(), count_max }
    }

    /// Records a stream that began `age_ms` ago. If it was recorded before, what is older holds.
    /// Returns whether the memory changed.
    pub fn record(&mut self, now: MonoTime, request: RequestHash, age_ms: u64, value: V) -> bool {
        self.expire(now);
        let Some(left_ms) = Self::LIFETIME_MS.checked_sub(age_ms) else { return false };
        let end = now.plus_ms(left_ms);
        if let Some((known, _)) = self.streams.get(&request) {
            if *known <= end {
                return false;
            }
            self.ends.remove(&(*known, request));
        }
        self.streams.insert(request, (end, value));
        self.ends.insert((end, request));
        if self.ends.len() > self.count_max {
            self.remove_oldest();
        }
        true
    }

    /// Returns what is remembered of a stream.
    pub fn get(&self, request: RequestHash) -> Option<&V> {
        self.streams.get(&request).map(|(_, value)| value)
    }

    /// Returns the streams that began within the lifetime with their ages in milliseconds, the
    /// newest first.
    pub fn newest_first(&self, now: MonoTime) -> impl Iterator<Item = (RequestHash, u64, &V)> {
        let recent = self.ends.range((now, RequestHash::new(0))..).rev();
        recent.filter_map(move |(end, request)| {
            let age_ms = Self::LIFETIME_MS.saturating_sub(end.ms_since(now));
            Some((*request, age_ms, self.get(*request)?))
        })
    }

    fn expire(&mut self, now: MonoTime) {
        while self.ends.first().is_some_and(|(end, _)| *end < now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, request)) = self.ends.pop_first() {
            self.streams.remove(&request);
        }
    }
}
