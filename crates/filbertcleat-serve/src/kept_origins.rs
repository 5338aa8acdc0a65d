//! Decides when origins of streams are read from the catalogue and written there.
//!
//! Agents remember which software version began a stream. If they lose power together with the
//! entries, only the catalogue outlasts them. While a service has servers of several versions, each
//! entry keeps the origins of the streams that it began in a row of its own, and an entry that can't
//! decide on a stream otherwise reads all rows.

mod row;
mod step;
mod verdict;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::hash_map::Entry;

use filbertcleat_base::MonoTime;
use filbertcleat_base::NodeName;
use filbertcleat_base::ServiceName;

pub use self::row::KeptStream;
pub use self::row::OriginRow;
pub use self::row::OriginRowContent;
pub use self::row::OutdatedRow;
pub use self::row::SeenVersion;
pub use self::step::OriginWriteStep;
pub use self::verdict::OriginVerdict;
use crate::RequestHash;
use crate::SoftwareVersion;
use crate::StreamOrigin;
use crate::recent_streams::RecentStreams;
use crate::recent_streams::StreamRecord;

/// A software version of a service.
type ServiceVersion = (ServiceName, SoftwareVersion);

/// When an entry has to read rows of origins and write its own, and what the rows tell of a stream.
#[derive(Clone, Debug)]
pub struct KeptOrigins {
    node: NodeName,
    /// The streams that this entry or its node's process before began.
    begun: RecentStreams<ServiceVersion>,
    /// The origins that rows tell, with the times until which they count.
    kept: HashMap<RequestHash, (MonoTime, ServiceVersion)>,
    /// The versions of the rows that are merged, since a list repeats most of them.
    merged: HashMap<NodeName, u64>,
    /// Until when each version counts that a list of backend servers or a row has shown.
    seen_until: BTreeMap<ServiceVersion, MonoTime>,
    /// Since when the list of backend servers has been followed without a gap.
    followed_since: Option<MonoTime>,
    followed_at: Option<MonoTime>,
    /// All changes of the list of backend servers before this time are known.
    listed_at: Option<MonoTime>,
    /// When the last list of rows began that could be read whole.
    read_at: Option<MonoTime>,
    next_read_at: MonoTime,
    is_wanted: bool,
    is_reading: bool,
    /// The version of the own row; `None` before a read.
    row_version: Option<u64>,
    written_versions: BTreeSet<ServiceVersion>,
    write_began_at: Option<MonoTime>,
    needs_write: bool,
    retry_at: MonoTime,
    failures: u32,
}

impl KeptOrigins {
    /// For how long a version counts after it was last listed: as long as origins are remembered.
    pub const WINDOW_MS: u64 = RecentStreams::<SoftwareVersion>::LIFETIME_MS;
    /// How long callers wait for a stream at most.
    const CALLER_WAIT_MS: u64 = 30_000;
    /// The shortest time between the beginnings of two writes.
    pub const WRITE_INTERVAL_MS: u64 = 250;
    /// The longest time between two writes while several versions serve, so that a row shows a
    /// version for at least 45 s after its last server left, which is longer than callers wait.
    pub const REFRESH_INTERVAL_MS: u64 = 15_000;
    /// The shortest time between the beginnings of two lists of the rows.
    pub const READ_INTERVAL_MS: u64 = 1_000;
    /// The age from which a row is removed: twice the age from which it tells nothing.
    pub const OUTDATED_MS: u64 = 120_000;
    /// The longest time without a response on the list of backend servers after which the entry may
    /// have missed a version: several times the usual time between two responses.
    pub const FOLLOW_GAP_MS: u64 = 5_000;
    /// The largest row, in bytes: with Base64, a third more, it stays within 65,536 bytes.
    pub const ROW_BYTES_MAX: usize = 49_152;
    /// The bytes that a stream takes in a row: 12 in Base64.
    pub const STREAM_BYTES: usize = 16;
    /// The bytes that a version takes in a row besides its names, and the row itself.
    pub const ENTRY_BYTES: usize = 64;
    /// The most bytes that a character of a name takes in a row.
    const NAME_FACTOR: usize = 6;
    /// The most versions in a row. More of them are not served within a minute.
    pub const VERSIONS_MAX: usize = 64;
    /// The most streams of this entry that are remembered, as many as fit into a row.
    const BEGUN_MAX: usize = Self::ROW_BYTES_MAX / Self::STREAM_BYTES;
    /// The most origins that are remembered from rows: those of 4,000 streams a second, about
    /// 20 MB.
    const KEPT_MAX: usize = 262_144;
    /// The most rows that are removed in one call.
    const REMOVALS_MAX: usize = 32;
    /// The number of entries that remove rows after a list, as each of them may fail.
    const REMOVERS: u64 = 3;
    /// The pause after a failed write, which grows by as much with each further failure.
    const RETRY_PAUSE_MS: u64 = 250;
    /// The longest pause after a failed write.
    const RETRY_PAUSE_MAX_MS: u64 = 2_000;

    /// Creates the state of a process that has read nothing.
    pub fn new(node: NodeName) -> Self {
        Self {
            node,
            begun: RecentStreams::new(Self::BEGUN_MAX),
            kept: HashMap::new(),
            merged: HashMap::new(),
            seen_until: BTreeMap::new(),
            followed_since: None,
            followed_at: None,
            listed_at: None,
            read_at: None,
            next_read_at: MonoTime::ZERO,
            is_wanted: false,
            is_reading: false,
            row_version: None,
            written_versions: BTreeSet::new(),
            write_began_at: None,
            needs_write: false,
            retry_at: MonoTime::ZERO,
            failures: 0,
        }
    }

    /// Records a response to a call that began at `began_at`, so that all changes of the list of
    /// backend servers before that time are known. `has_gap` tells whether servers may have been
    /// listed and removed since the response before without having been shown.
    pub fn on_followed(&mut self, now: MonoTime, began_at: MonoTime, has_gap: bool) {
        let is_late = |at: MonoTime| now.ms_since(at) > Self::FOLLOW_GAP_MS;
        if has_gap || self.followed_at.is_none_or(is_late) {
            self.followed_since = Some(now);
        }
        self.followed_at = Some(now);
        self.listed_at = Some(began_at);
    }

    /// Returns the time in milliseconds up to which changes of the list of backend servers may be
    /// unknown.
    pub fn list_age_ms(&self, now: MonoTime) -> Option<u64> {
        self.listed_at.map(|at| now.ms_since(at))
    }

    /// Returns the number of versions of a service that served in the last minute.
    pub fn version_count(&self, now: MonoTime, service: &ServiceName) -> usize {
        self.versions(now, service).count()
    }

    /// Records the versions of a service with resumable streams, with the times in milliseconds
    /// since a server of each was listed.
    pub fn observe(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        versions: BTreeMap<SoftwareVersion, u64>,
    ) {
        for (version, age_ms) in versions {
            self.on_seen(now, (service.clone(), version), age_ms);
        }
    }

    /// Records that this entry forwards the first event of a resumable stream, or still forwards the
    /// stream.
    pub fn on_begun(&mut self, now: MonoTime, service: &ServiceName, origin: &StreamOrigin) {
        let version = (service.clone(), origin.software_version.clone());
        match self.begun.record(now, origin.request, 0, version.clone()) {
            StreamRecord::New => {
                self.on_seen(now, version, 0);
                self.needs_write |= self.is_mixed(now, service);
            }
            // The next write comes early enough.
            StreamRecord::Extended => self.on_seen(now, version, 0),
            StreamRecord::Unchanged => {}
        }
    }

    /// Decides on a stream whose origin neither the entry nor the agents know, and which a caller
    /// took up at `taken_up_at`. The request is the one that began it, if its caller names it.
    /// `is_served` tells whether a backend server of the service is listed, without which the
    /// versions that will serve are unknown. The stream may have run for `stream_max_ms`.
    pub fn decide(
        &self,
        now: MonoTime,
        taken_up_at: MonoTime,
        service: &ServiceName,
        request: Option<RequestHash>,
        is_served: bool,
        stream_max_ms: u64,
    ) -> OriginVerdict {
        let kept = request.and_then(|request| self.kept.get(&request));
        if let Some((_, (service, version))) = kept {
            return OriginVerdict::Kept(service.clone(), version.clone());
        }
        if !is_served {
            return OriginVerdict::Unknown;
        }
        let mut versions = self.versions(now, service);
        let single = versions.next().filter(|_| versions.next().is_none());
        match single {
            Some(version) if self.knows_all_versions(now, stream_max_ms) => {
                // The server that began the stream was listed before the caller came back.
                if self.listed_at.is_some_and(|at| taken_up_at <= at) {
                    OriginVerdict::Single(version.clone())
                } else {
                    OriginVerdict::Follow
                }
            }
            None if request.is_none() => OriginVerdict::Unknown,
            _ if self.is_reading || self.next_read_at <= now => OriginVerdict::Read,
            _ => OriginVerdict::Unknown,
        }
    }

    /// Records that the rows have to be read, unless a list of them is open.
    pub fn want_read(&mut self) {
        self.is_wanted = !self.is_reading;
    }

    /// Returns whether a list of the rows has to begin now, and records that it does. The result
    /// has to be told by `on_read` or `on_read_failed`.
    pub fn begin_read(&mut self, now: MonoTime) -> bool {
        let may_begin = self.is_wanted && !self.is_reading && self.next_read_at <= now;
        if may_begin {
            self.is_wanted = false;
            self.is_reading = true;
            self.next_read_at = now.plus_ms(Self::READ_INTERVAL_MS);
        }
        may_begin
    }

    /// Returns the time from which a list of the rows may begin.
    pub fn next_read_at(&self) -> MonoTime {
        self.next_read_at
    }

    /// Applies all rows, as a list that began at `began_at` has shown them. Of `entries` entries few
    /// remove outdated rows; `draw` differs between them. Returns the rows to remove.
    pub fn on_read(
        &mut self,
        now: MonoTime,
        began_at: MonoTime,
        rows: &[OriginRow],
        entries: u32,
        draw: u64,
    ) -> Vec<OutdatedRow> {
        self.is_reading = false;
        // A row that can't be read may show a further version.
        self.read_at = rows.iter().all(|row| row.content.is_some()).then_some(began_at);
        let own = rows.iter().find(|row| row.node == self.node);
        self.row_version = Some(own.map_or(0, |row| row.version));
        self.kept.retain(|_, (until, _)| now <= *until);
        let mut merged = HashMap::new();
        for row in rows {
            if self.merged.get(&row.node) != Some(&row.version) {
                self.merge(now, row);
            }
            merged.insert(row.node.clone(), row.version);
        }
        self.merged = merged;
        let is_remover = draw % u64::from(entries.max(1)) < Self::REMOVERS;
        let outdated = rows.iter().filter(|row| {
            let is_old = |content: &OriginRowContent| content.age_ms > Self::OUTDATED_MS;
            is_remover && row.node != self.node && row.content.as_ref().is_some_and(is_old)
        });
        let outdated = outdated.take(Self::REMOVALS_MAX);
        outdated.map(|row| OutdatedRow { node: row.node.clone(), version: row.version }).collect()
    }

    /// Records that a list of the rows failed.
    pub fn on_read_failed(&mut self) {
        self.is_reading = false;
    }

    /// Returns what has to be done about the own row next. The result of a write has to be told by
    /// `on_written`, `on_conflict` or `on_write_failed`.
    pub fn write_step(&mut self, now: MonoTime) -> OriginWriteStep {
        self.seen_until.retain(|_, until| now <= *until);
        let versions = self.mixed_versions(now);
        self.written_versions.retain(|version| versions.contains_key(version));
        if versions.is_empty() {
            return OriginWriteStep::Wait { until: None };
        }
        let refresh_at = self.write_began_at.map(|at| at.plus_ms(Self::REFRESH_INTERVAL_MS));
        let has_new_version = versions.keys().any(|key| !self.written_versions.contains(key));
        let is_due = self.needs_write || has_new_version || refresh_at.is_none_or(|at| at <= now);
        if !is_due {
            return OriginWriteStep::Wait { until: refresh_at };
        }
        let earliest = self.write_began_at.map(|at| at.plus_ms(Self::WRITE_INTERVAL_MS));
        let earliest = earliest.unwrap_or(now).max(self.retry_at);
        if now < earliest {
            return OriginWriteStep::Wait { until: Some(earliest) };
        }
        let Some(version) = self.row_version else { return OriginWriteStep::Read };
        let content = self.row_content(now, &versions);
        self.written_versions = versions.into_keys().collect();
        self.write_began_at = Some(now);
        self.needs_write = false;
        OriginWriteStep::Write(OriginRow {
            node: self.node.clone(),
            version,
            content: Some(content),
        })
    }

    /// Records that the own row was written, and its new version.
    pub fn on_written(&mut self, version: u64) {
        self.row_version = Some(version);
        self.failures = 0;
    }

    /// Applies the own row as another process of the node, or a restored catalogue, has left it. A
    /// first conflict is followed by a write at once.
    pub fn on_conflict(&mut self, now: MonoTime, current: &OriginRow) {
        self.merge(now, current);
        self.row_version = Some(current.version);
        let pause_ms = Self::RETRY_PAUSE_MS * u64::from(self.failures);
        self.on_not_written(now, pause_ms);
        self.write_began_at = None;
    }

    /// Records that a write failed. It may have taken effect, or still take it.
    pub fn on_write_failed(&mut self, now: MonoTime) {
        self.on_not_written(now, Self::RETRY_PAUSE_MS * u64::from(self.failures + 1));
    }

    /// Records that the catalogue was restored from a copy, which may lack rows of all entries.
    pub fn on_restored(&mut self) {
        self.read_at = None;
        // The catalogue assigns the versions after the copy's again.
        self.merged.clear();
        self.written_versions.clear();
        self.needs_write = true;
    }

    fn on_not_written(&mut self, now: MonoTime, pause_ms: u64) {
        self.failures += 1;
        self.retry_at = now.plus_ms(pause_ms.min(Self::RETRY_PAUSE_MAX_MS));
        self.written_versions.clear();
        self.needs_write = true;
    }

    fn on_seen(&mut self, now: MonoTime, version: ServiceVersion, age_ms: u64) {
        let Some(left_ms) = Self::WINDOW_MS.checked_sub(age_ms) else { return };
        let until = self.seen_until.entry(version).or_default();
        *until = now.plus_ms(left_ms).max(*until);
    }

    /// Adds what a row tells. Times by the store's clock are applied as ages.
    fn merge(&mut self, now: MonoTime, row: &OriginRow) {
        let Some(content) = &row.content else { return };
        for SeenVersion { service, software_version, age_ms } in &content.versions {
            self.on_seen(now, (service.clone(), software_version.clone()), *age_ms);
        }
        for stream in &content.streams {
            let version = content.versions.get(usize::from(stream.version_index));
            let Some(SeenVersion { service, software_version, .. }) = version else { continue };
            let KeptStream { request, age_ms, .. } = *stream;
            let version = (service.clone(), software_version.clone());
            self.keep(now, request, age_ms, &version);
            if row.node == self.node {
                self.begun.record(now, request, age_ms, version);
            }
        }
    }

    /// Records the origin that a row tells. If rows differ, the older origin holds; if they agree, the
    /// later one tells for how long.
    fn keep(&mut self, now: MonoTime, request: RequestHash, age_ms: u64, version: &ServiceVersion) {
        let Some(left_ms) = Self::WINDOW_MS.checked_sub(age_ms) else { return };
        let until = now.plus_ms(left_ms);
        let is_full = self.kept.len() >= Self::KEPT_MAX;
        match self.kept.entry(request) {
            Entry::Vacant(vacant) if !is_full => {
                vacant.insert((until, version.clone()));
            }
            Entry::Occupied(mut known) => {
                let (known_until, known_version) = known.get();
                let is_same = known_version == version;
                let is_changed = if is_same { *known_until < until } else { until < *known_until };
                if is_changed {
                    known.insert((until, version.clone()));
                }
            }
            Entry::Vacant(_) => {}
        }
    }

    /// Returns whether any version is known that may have begun a stream of this length: the entry has
    /// followed the list of backend servers for a minute, or since it read what other entries had seen. A
    /// longer stream may be of a version that left before, which the entry that ran it shows.
    fn knows_all_versions(&self, now: MonoTime, stream_max_ms: u64) -> bool {
        let is_just_read =
            self.read_at.is_some_and(|at| now.ms_since(at) <= Self::READ_INTERVAL_MS);
        let is_followed =
            self.followed_at.is_some_and(|at| now.ms_since(at) <= Self::FOLLOW_GAP_MS);
        let has_followed = self.followed_since.is_some_and(|since| {
            now.ms_since(since) > Self::WINDOW_MS || self.read_at.is_some_and(|at| since <= at)
        });
        let is_short = stream_max_ms <= Self::WINDOW_MS - Self::CALLER_WAIT_MS;
        is_just_read || (is_short && is_followed && has_followed)
    }

    fn versions(
        &self,
        now: MonoTime,
        service: &ServiceName,
    ) -> impl Iterator<Item = &SoftwareVersion> {
        let seen = self.seen_until.iter().filter(move |(_, until)| now <= **until);
        seen.filter(move |((name, _), _)| name == service).map(|((_, version), _)| version)
    }

    fn is_mixed(&self, now: MonoTime, service: &ServiceName) -> bool {
        self.versions(now, service).nth(1).is_some()
    }

    /// Returns the versions of the services of which several served, with their ages in
    /// milliseconds.
    fn mixed_versions(&self, now: MonoTime) -> BTreeMap<ServiceVersion, u64> {
        let seen = self.seen_until.iter().filter(|(_, until)| now <= **until);
        seen.filter(|((service, _), _)| self.is_mixed(now, service))
            .map(|(version, until)| (version.clone(), Self::WINDOW_MS - until.ms_since(now)))
            .collect()
    }

    /// Returns the content of the own row within its bounds.
    fn row_content(
        &self,
        now: MonoTime,
        versions: &BTreeMap<ServiceVersion, u64>,
    ) -> OriginRowContent {
        let mut newest: Vec<_> = versions.iter().collect();
        newest.sort_by_key(|(_, age_ms)| **age_ms);
        let mut bytes = Self::ENTRY_BYTES;
        let mut content = OriginRowContent::default();
        for ((service, software_version), age_ms) in newest.into_iter().take(Self::VERSIONS_MAX) {
            let names = service.as_str().len() + software_version.as_str().len();
            bytes += Self::ENTRY_BYTES + names * Self::NAME_FACTOR;
            if bytes > Self::ROW_BYTES_MAX {
                break;
            }
            content.versions.push(SeenVersion {
                service: service.clone(),
                software_version: software_version.clone(),
                age_ms: *age_ms,
            });
        }
        for (request, age_ms, (service, software_version)) in self.begun.newest_first(now) {
            if bytes + Self::STREAM_BYTES > Self::ROW_BYTES_MAX {
                break;
            }
            let index = content.versions.iter().position(|seen| {
                seen.service == *service && seen.software_version == *software_version
            });
            let Some(version_index) = index.and_then(|index| u8::try_from(index).ok()) else {
                continue;
            };
            bytes += Self::STREAM_BYTES;
            content.streams.push(KeptStream { request, version_index, age_ms });
        }
        content
    }
}
