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

/// What a record of a stream has changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StreamRecord {
    /// The stream was not remembered, or with another value.
    New,
    /// The stream is remembered for longer.
    Extended,
    Unchanged,
}

impl<V: PartialEq> RecentStreams<V> {
    /// How long a stream is remembered after its last record: twice the longest time that callers
    /// wait for a stream.
    pub const LIFETIME_MS: u64 = 60_000;

    /// Creates an empty memory of at most `count_max` streams.
    pub fn new(count_max: usize) -> Self {
        Self { streams: HashMap::new(), ends: BTreeSet::new(), count_max }
    }

    /// Records a stream that began, or still ran, `age_ms` ago. A record with the same value extends the
    /// time for which the stream is remembered; of different values the older one holds.
    pub fn record(
        &mut self,
        now: MonoTime,
        request: RequestHash,
        age_ms: u64,
        value: V,
    ) -> StreamRecord {
        self.expire(now);
        let Some(left_ms) = Self::LIFETIME_MS.checked_sub(age_ms) else {
            return StreamRecord::Unchanged;
        };
        let end = now.plus_ms(left_ms);
        let mut record = StreamRecord::New;
        if let Some((known, known_value)) = self.streams.get(&request) {
            let is_same = *known_value == value;
            let is_changed = if is_same { *known < end } else { end < *known };
            if !is_changed {
                return StreamRecord::Unchanged;
            }
            if is_same {
                record = StreamRecord::Extended;
            }
            self.ends.remove(&(*known, request));
        }
        self.streams.insert(request, (end, value));
        self.ends.insert((end, request));
        if self.ends.len() > self.count_max {
            self.remove_oldest();
        }
        record
    }

    /// Returns what is remembered of a stream.
    pub fn get(&self, request: RequestHash) -> Option<&V> {
        self.streams.get(&request).map(|(_, value)| value)
    }

    /// Returns the streams that were recorded within the lifetime with the times in milliseconds since
    /// then, the newest first.
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
