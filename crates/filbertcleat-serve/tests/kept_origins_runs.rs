//! Runs of entries that keep origins of streams, through releases, outages and losses of all of
//! them. No agent remembers anything.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use filbertcleat_base::MonoTime;
use filbertcleat_base::NodeName;
use filbertcleat_base::ServiceName;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::KeptOrigins;
use filbertcleat_serve::ListedServer;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::OriginRow;
use filbertcleat_serve::OriginVerdict;
use filbertcleat_serve::OriginWriteStep;
use filbertcleat_serve::RequestHash;
use filbertcleat_serve::SoftwareVersion;
use filbertcleat_serve::StreamOrigin;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use self::support::listed;

const ENTRIES: usize = 3;
const VERSIONS: u8 = 3;
const TICK_MS: u64 = 50;
/// How often an entry reads the list of backend servers.
const POLL_MS: u64 = 1_000;
/// The time in which all entries know of a change and have written their rows.
const SETTLE_MS: u64 = 3_000;
/// The longest time that a caller waits for a stream.
const CALLER_WAIT_MS: u64 = 30_000;

/// The longest time for which a stream runs.
const STREAM_MAX_MS: u64 = 10_000;

/// What happens in a run.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A stream begins at an entry, at one of the listed versions.
    Begin { entry: usize, version: usize },
    /// A caller takes up one of the newest streams at an entry.
    TakeUp { entry: usize, stream: usize },
    /// The first server of a version is listed, or the last one leaves.
    Switch { version: u8 },
    /// A node starts again, under its name or another.
    Restart { entry: usize, is_renamed: bool },
    /// An entry gets no list of backend servers for a time.
    Lag { entry: usize, ms: u64 },
    /// All nodes start again.
    LosePower { is_renamed: bool },
    /// The catalogue goes away or comes back.
    SwitchStore,
    /// The catalogue comes back from a copy that is a second old.
    Restore,
    /// Time passes.
    Pass { ms: u64 },
}

struct Entry {
    name: String,
    started_ms: u64,
    fleet: Fleet,
    kept: KeptOrigins,
    next_poll_ms: u64,
    /// Until when the entry gets no list of backend servers.
    lags_until_ms: u64,
}

impl Entry {
    fn now(&self, now_ms: u64) -> MonoTime {
        MonoTime::from_ms(now_ms - self.started_ms)
    }
}

struct Stream {
    version: u8,
    began_ms: u64,
    entry: usize,
    /// For how long the process that began the stream could write it into its row.
    kept_ms: u64,
}

/// The rows by node, with the times at which they were written.
type Rows = BTreeMap<String, (OriginRow, u64)>;

struct Run {
    now_ms: u64,
    listed: BTreeSet<u8>,
    entries: Vec<Entry>,
    starts: u64,
    streams: Vec<Stream>,
    rows: Rows,
    /// The rows of each of the last ticks.
    copies: Vec<Rows>,
    version: u64,
    is_away: bool,
    /// When the list, the catalogue or the processes last changed.
    disturbed_ms: u64,
    restored_ms: u64,
}

impl Run {
    fn new() -> Self {
        let mut run = Self {
            now_ms: 1_000_000,
            listed: BTreeSet::from([0]),
            entries: Vec::new(),
            starts: 0,
            streams: Vec::new(),
            rows: BTreeMap::new(),
            copies: Vec::new(),
            version: 0,
            is_away: false,
            disturbed_ms: 0,
            restored_ms: 0,
        };
        for number in 0..ENTRIES {
            let mut entry = run.start(&format!("edge-{number}"));
            // Entries learn of changes one after another.
            entry.next_poll_ms += number as u64 * POLL_MS / ENTRIES as u64;
            run.entries.push(entry);
        }
        run
    }

    fn start(&mut self, name: &str) -> Entry {
        self.starts += 1;
        let (fleet, kept) = (Fleet::default(), KeptOrigins::new(NodeName::new(name)));
        let (started_ms, next_poll_ms) = (self.now_ms, self.now_ms);
        Entry { name: name.to_owned(), started_ms, fleet, kept, next_poll_ms, lags_until_ms: 0 }
    }

    fn restart(&mut self, number: usize, is_renamed: bool) {
        let name = if is_renamed {
            format!("edge-{number}-{}", self.starts)
        } else {
            self.entries[number].name.clone()
        };
        self.entries[number] = self.start(&name);
        for stream in self.streams.iter_mut().filter(|stream| stream.entry == number) {
            // Only what was kept before counts.
            stream.entry = ENTRIES;
        }
        self.disturbed_ms = self.now_ms;
    }

    fn is_settled(&self) -> bool {
        self.now_ms - self.disturbed_ms >= SETTLE_MS
    }

    fn is_lagging(&self, entry: usize) -> bool {
        self.now_ms < self.entries[entry].lags_until_ms
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Begin { entry, version } => {
                let Some(version) = self.listed.iter().nth(version % self.listed.len().max(1))
                else {
                    return;
                };
                let (version, began_ms) = (*version, self.now_ms);
                let request = RequestHash::new(self.streams.len() as u64);
                let origin = StreamOrigin {
                    request,
                    service: Some(writer()),
                    software_version: software(version),
                };
                let state = &mut self.entries[entry];
                // An entry sends requests only to servers that it knows.
                if !state
                    .fleet
                    .software_versions(state.now(began_ms), &writer())
                    .contains_key(&software(version))
                {
                    return;
                }
                let now = state.now(began_ms);
                state.kept.on_begun(now, &writer(), &origin);
                self.streams.push(Stream { version, began_ms, entry, kept_ms: 0 });
            }
            Event::TakeUp { entry, stream } => self.take_up(entry, stream),
            // A release overlaps and is slower than the entries, and servers can't be listed without
            // the catalogue. If the only version leaves before the next one comes, and all entries
            // lose power before they learn of that, nobody has seen two versions.
            Event::Switch { version } if self.is_settled() && !self.is_away => {
                let has_left = self.listed.len() > 1 && self.listed.remove(&version);
                if has_left || self.listed.insert(version) {
                    self.disturbed_ms = self.now_ms;
                }
            }
            Event::Restart { entry, is_renamed } => self.restart(entry, is_renamed),
            // The others know of a release.
            Event::Lag { entry, ms } if !(0..ENTRIES).any(|entry| self.is_lagging(entry)) => {
                self.entries[entry].lags_until_ms = self.now_ms + ms;
            }
            // A loss of all within the moments after a restore loses what was only in memory.
            Event::LosePower { is_renamed } if self.now_ms - self.restored_ms >= SETTLE_MS => {
                (0..ENTRIES).for_each(|number| self.restart(number, is_renamed));
            }
            Event::Switch { .. } | Event::Lag { .. } | Event::LosePower { .. } => {}
            Event::SwitchStore => {
                self.is_away = !self.is_away;
                self.disturbed_ms = self.now_ms;
            }
            Event::Restore => {
                let age = (1_000 / TICK_MS) as usize;
                let copy = self.copies.len().checked_sub(age).map(|at| self.copies[at].clone());
                self.rows = copy.unwrap_or_default();
                self.entries.iter_mut().for_each(|entry| entry.kept.on_restored());
                self.streams.iter_mut().for_each(|stream| stream.kept_ms = 0);
                (self.disturbed_ms, self.restored_ms) = (self.now_ms, self.now_ms);
            }
            Event::Pass { ms } => self.pass(ms),
        }
    }

    fn take_up(&mut self, entry: usize, stream: usize) {
        let Some(number) = self.streams.len().checked_sub(1 + stream) else { return };
        let mut verdict = self.decide(entry, number);
        if verdict == OriginVerdict::Unknown {
            // The caller comes again.
            self.pass(KeptOrigins::READ_INTERVAL_MS);
            verdict = self.decide(entry, number);
        }
        let Stream { version, began_ms, kept_ms, .. } = self.streams[number];
        if self.now_ms - began_ms > CALLER_WAIT_MS {
            return;
        }
        let is_lagging = self.is_lagging(entry);
        match verdict {
            OriginVerdict::Kept(_, found) | OriginVerdict::Single(found) => {
                assert_eq!(found, software(version), "stream {number} is joined");
            }
            OriginVerdict::Follow | OriginVerdict::Read | OriginVerdict::Unknown => {
                let must_go_on = kept_ms >= SETTLE_MS && !self.is_away && !is_lagging;
                assert!(!must_go_on, "stream {number} of {version} is refused");
            }
        }
    }

    fn decide(&mut self, entry: usize, stream: usize) -> OriginVerdict {
        let request = Some(RequestHash::new(stream as u64));
        for _ in 0..3 {
            let state = &mut self.entries[entry];
            let now = state.now(self.now_ms);
            let is_served = state.fleet.lists_service(&writer());
            match state.kept.decide(now, now, &writer(), request, is_served, STREAM_MAX_MS) {
                OriginVerdict::Follow => {
                    state.next_poll_ms = self.now_ms;
                    self.poll(entry);
                }
                OriginVerdict::Read => {
                    state.kept.want_read();
                    self.read(entry);
                }
                verdict @ (OriginVerdict::Kept(..)
                | OriginVerdict::Single(_)
                | OriginVerdict::Unknown) => return verdict,
            }
        }
        OriginVerdict::Unknown
    }

    fn read(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let entry = &mut self.entries[number];
        let now = entry.now(now_ms);
        if !entry.kept.begin_read(now) {
            return;
        }
        if self.is_away {
            entry.kept.on_read_failed();
            return;
        }
        let rows: Vec<_> = self.rows.values().map(|(row, at)| aged(row, now_ms - at)).collect();
        for outdated in entry.kept.on_read(now, now, &rows, 1, 0) {
            self.rows.remove(outdated.node.as_str());
        }
    }

    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.now_ms += TICK_MS;
            for entry in 0..ENTRIES {
                self.poll(entry);
                // A step may follow the one before at once.
                for _ in 0..3 {
                    self.write(entry);
                }
            }
            let can_keep = !self.is_away && self.listed.len() > 1;
            let is_lagging: Vec<_> = (0..ENTRIES).map(|entry| self.is_lagging(entry)).collect();
            for stream in self.streams.iter_mut().filter(|stream| stream.entry < ENTRIES) {
                let is_kept = can_keep && !is_lagging[stream.entry];
                stream.kept_ms += if is_kept { TICK_MS } else { 0 };
            }
            self.copies.push(self.rows.clone());
        }
    }

    fn poll(&mut self, number: usize) {
        let is_late = self.is_lagging(number);
        let entry = &mut self.entries[number];
        if self.is_away || is_late || self.now_ms < entry.next_poll_ms {
            return;
        }
        entry.next_poll_ms = self.now_ms + POLL_MS;
        let list = self.listed.iter().map(|version| ListedServer {
            software_version: software(*version),
            ..listed(&format!("w{version}"))
        });
        let now = entry.now(self.now_ms);
        entry.fleet.apply_listing(now, ListingChange::Snapshot(list.collect()));
        let versions = entry.fleet.software_versions(now, &writer());
        entry.kept.observe(now, &writer(), versions);
        entry.kept.on_followed(now, now, false);
    }

    fn write(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let entry = &mut self.entries[number];
        let now = entry.now(now_ms);
        let row = match entry.kept.write_step(now) {
            OriginWriteStep::Wait { .. } => return,
            OriginWriteStep::Read => {
                entry.kept.want_read();
                return self.read(number);
            }
            OriginWriteStep::Write(row) => row,
        };
        if self.is_away {
            return entry.kept.on_write_failed(now);
        }
        let key = row.node.to_string();
        let absent = OriginRow { node: row.node.clone(), version: 0, content: None };
        let current = self.rows.get(&key).map_or(absent, |(row, at)| aged(row, now_ms - at));
        if current.version != row.version {
            return entry.kept.on_conflict(now, &current);
        }
        self.version += 1;
        let version = self.version;
        self.rows.insert(key, (OriginRow { version, ..row }, now_ms));
        entry.kept.on_written(version);
    }
}

fn writer() -> ServiceName {
    ServiceName::new("writer")
}

fn software(version: u8) -> SoftwareVersion {
    SoftwareVersion::new(&format!("v{version}"))
}

fn aged(row: &OriginRow, ms: u64) -> OriginRow {
    let mut row = row.clone();
    if let Some(content) = &mut row.content {
        content.age_ms += ms;
        content.versions.iter_mut().for_each(|version| version.age_ms += ms);
        content.streams.iter_mut().for_each(|stream| stream.age_ms += ms);
    }
    row
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        6 => (0..ENTRIES, 0_usize..3).prop_map(|(entry, version)| Event::Begin { entry, version }),
        6 => (0..ENTRIES, 0_usize..4).prop_map(|(entry, stream)| Event::TakeUp { entry, stream }),
        4 => (0..VERSIONS).prop_map(|version| Event::Switch { version }),
        1 => (0..ENTRIES, any::<bool>())
            .prop_map(|(entry, is_renamed)| Event::Restart { entry, is_renamed }),
        2 => (0..ENTRIES, 500_u64..8_000).prop_map(|(entry, ms)| Event::Lag { entry, ms }),
        2 => any::<bool>().prop_map(|is_renamed| Event::LosePower { is_renamed }),
        1 => Just(Event::SwitchStore),
        1 => Just(Event::Restore),
        6 => prop_oneof![100_u64..1_000, 1_000_u64..10_000, 10_000_u64..70_000]
            .prop_map(|ms| Event::Pass { ms }),
    ];
    proptest::collection::vec(event, 1..60)
}

/// Events of releases that begin while lists are behind.
fn release_events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        6 => (0..ENTRIES, 0_usize..3).prop_map(|(entry, version)| Event::Begin { entry, version }),
        6 => (0..ENTRIES, 0_usize..2).prop_map(|(entry, stream)| Event::TakeUp { entry, stream }),
        2 => (0..VERSIONS).prop_map(|version| Event::Switch { version }),
        2 => (0..ENTRIES, 500_u64..8_000).prop_map(|(entry, ms)| Event::Lag { entry, ms }),
        6 => prop_oneof![15 => 100_u64..1_500, 1 => Just(KeptOrigins::WINDOW_MS)]
            .prop_map(|ms| Event::Pass { ms }),
    ];
    proptest::collection::vec(event, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(29),
        ..ProptestConfig::default()
    })]

    /// No stream goes on at a version that did not begin it, and one that could be kept goes on.
    #[test]
    fn origins_hold(events in events()) {
        let mut run = Run::new();
        run.pass(SETTLE_MS);
        for event in events {
            run.take(event);
        }
    }

    /// At the first moments of a release entries know different versions.
    #[test]
    fn releases_join_nothing(events in release_events()) {
        let mut run = Run::new();
        run.pass(KeptOrigins::WINDOW_MS + SETTLE_MS);
        for event in events {
            run.take(event);
        }
    }
}
