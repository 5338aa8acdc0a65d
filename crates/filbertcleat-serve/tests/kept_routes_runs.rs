//! Runs of entries that keep the targets of a route, through moves of the route, outages and losses
//! of all entries. Nobody remembers the origin of a stream.

use filbertcleat_base::MonoTime;
use filbertcleat_base::ServiceName;
use filbertcleat_serve::KeptRoutes;
use filbertcleat_serve::MovedRoutes;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::Route;
use filbertcleat_serve::RouteRow;
use filbertcleat_serve::RouteWriteStep;
use filbertcleat_serve::Target;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ENTRIES: usize = 3;
const SERVICES: u8 = 3;
const TICK_MS: u64 = 100;
/// How much later than the one before it each entry applies a configuration.
const APPLY_MS: u64 = 400;
/// The time in which all entries know of a change and have written the row.
const SETTLE_MS: u64 = 5_000;
/// The longest time that a caller waits for a stream.
const CALLER_WAIT_MS: u64 = 30_000;

/// What happens in a run.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A stream begins at an entry.
    Begin { entry: usize },
    /// A caller takes up one of the newest streams at an entry.
    TakeUp { entry: usize, stream: usize },
    /// The route moves to a service.
    Move { service: u8 },
    /// An entry starts again.
    Restart { entry: usize },
    /// All entries start again.
    LosePower,
    /// The catalogue goes away or comes back.
    SwitchStore,
    /// The catalogue comes back from a copy that is a second old.
    Restore,
    /// Time passes.
    Pass { ms: u64 },
}

struct Entry {
    started_ms: u64,
    kept: KeptRoutes,
    /// The service to which the route leads by the configuration that is applied.
    service: Option<u8>,
    is_row_read: bool,
}

impl Entry {
    fn now(&self, now_ms: u64) -> MonoTime {
        MonoTime::from_ms(now_ms - self.started_ms)
    }
}

/// A stream and what began it.
struct Stream {
    service: u8,
    began_ms: u64,
}

struct Run {
    now_ms: u64,
    service: u8,
    moved_ms: u64,
    entries: Vec<Entry>,
    starts: u64,
    streams: Vec<Stream>,
    /// The row and when it was written.
    row: Option<(RouteRow, u64)>,
    /// The rows of each of the last ticks.
    copies: Vec<Option<(RouteRow, u64)>>,
    version: u64,
    is_away: bool,
    /// When the catalogue or the processes last changed.
    disturbed_ms: u64,
    restored_ms: u64,
    /// When the route last moved, or entries may have lost what shows that it has not.
    unclear_ms: u64,
}

impl Run {
    fn new() -> Self {
        let mut run = Self {
            now_ms: 1_000_000,
            service: 0,
            moved_ms: 0,
            entries: Vec::new(),
            starts: 0,
            streams: Vec::new(),
            row: None,
            copies: Vec::new(),
            version: 0,
            is_away: false,
            disturbed_ms: 0,
            restored_ms: 0,
            unclear_ms: 0,
        };
        for _ in 0..ENTRIES {
            let entry = run.start(true);
            run.entries.push(entry);
        }
        run.pass(SETTLE_MS);
        run
    }

    fn start(&mut self, is_first_start: bool) -> Entry {
        self.starts += 1;
        self.disturbed_ms = self.now_ms;
        let kept = KeptRoutes::new(is_first_start, self.starts);
        Entry { started_ms: self.now_ms, kept, service: None, is_row_read: false }
    }

    fn is_settled(&self) -> bool {
        let changed_ms = self.disturbed_ms.max(self.moved_ms);
        !self.is_away && self.now_ms - changed_ms >= SETTLE_MS
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Begin { entry } => {
                if let Some(service) = self.entries[entry].service {
                    self.streams.push(Stream { service, began_ms: self.now_ms });
                }
            }
            Event::TakeUp { entry, stream } => self.take_up(entry, stream),
            // If a route returns before any entry has written that it moved, and all of them lose
            // power, nothing shows it.
            Event::Move { service } if self.is_settled() && service != self.service => {
                self.service = service;
                (self.moved_ms, self.unclear_ms) = (self.now_ms, self.now_ms);
            }
            Event::Restart { entry } => self.entries[entry] = self.start(false),
            // A loss of all within the moments after a restore loses what was only in memory.
            Event::LosePower if self.now_ms - self.restored_ms >= SETTLE_MS => {
                for entry in 0..ENTRIES {
                    self.entries[entry] = self.start(false);
                }
            }
            Event::Move { .. } | Event::LosePower => {}
            Event::SwitchStore => {
                self.is_away = !self.is_away;
                (self.disturbed_ms, self.unclear_ms) = (self.now_ms, self.now_ms);
            }
            Event::Restore => {
                let copy = self.copies.len().checked_sub((1_000 / TICK_MS) as usize);
                self.row = copy.and_then(|at| self.copies[at].clone());
                self.entries.iter_mut().for_each(|entry| entry.is_row_read = false);
                (self.restored_ms, self.disturbed_ms) = (self.now_ms, self.now_ms);
                self.unclear_ms = self.now_ms;
            }
            Event::Pass { ms } => self.pass(ms),
        }
    }

    fn take_up(&self, entry: usize, stream: usize) {
        let Some(number) = self.streams.len().checked_sub(1 + stream) else { return };
        let (entry, stream) = (&self.entries[entry], &self.streams[number]);
        let is_current = entry.service == Some(self.service);
        if !is_current || self.now_ms - stream.began_ms > CALLER_WAIT_MS {
            return;
        }
        let route = route(self.service);
        if entry.kept.has_moved(entry.now(self.now_ms), &route, "/a/1") {
            let is_clear = self.now_ms - self.unclear_ms > MovedRoutes::REMEMBERED_MS + SETTLE_MS;
            assert!(!is_clear || !entry.is_row_read, "stream {number} is refused");
        } else {
            assert_eq!(stream.service, self.service, "stream {number} is joined");
        }
    }

    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.now_ms += TICK_MS;
            if !self.is_away {
                (0..ENTRIES).for_each(|entry| self.read(entry));
            }
            (0..ENTRIES).for_each(|entry| self.write(entry));
            self.copies.push(self.row.clone());
        }
    }

    /// Reads the configuration and the row. A process that starts gets the newest of both.
    fn read(&mut self, number: usize) {
        let (now_ms, service) = (self.now_ms, self.service);
        let row = self.row_as_read();
        let entry = &mut self.entries[number];
        let now = entry.now(now_ms);
        let is_told = now_ms - self.moved_ms >= number as u64 * APPLY_MS;
        if entry.service != Some(service) && (is_told || entry.service.is_none()) {
            let before = entry.service.map(|service| [route(service)]);
            let before = before.as_ref().map(<[Route; 1]>::as_slice);
            entry.kept.on_configured(now, before, &[route(service)]);
            entry.service = Some(service);
        }
        if !entry.is_row_read {
            entry.is_row_read = true;
            entry.kept.on_read(now, &row);
        }
    }

    fn write(&mut self, number: usize) {
        let (now_ms, current) = (self.now_ms, self.row_as_read());
        let entry = &mut self.entries[number];
        let now = entry.now(now_ms);
        let RouteWriteStep::Write(row) = entry.kept.write_step(now, ENTRIES as u32) else {
            return;
        };
        if self.is_away {
            return entry.kept.on_write_failed(now);
        }
        if current.version != row.version {
            return entry.kept.on_conflict(now, &current);
        }
        self.version += 1;
        entry.kept.on_written(now, &row, self.version);
        self.row = Some((RouteRow { version: self.version, ..row }, now_ms));
    }

    fn row_as_read(&self) -> RouteRow {
        let Some((row, written_ms)) = &self.row else { return RouteRow::default() };
        let mut row = row.clone();
        for route in row.routes.iter_mut().flatten() {
            route.moved_age_ms = route.moved_age_ms.map(|age| age + self.now_ms - written_ms);
        }
        row
    }
}

fn route(service: u8) -> Route {
    Route {
        name: "a".to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: "/a/".to_owned(),
        retry_policy: RetryPolicy::Stream { resumable: true },
        timeout_ms: 10_000,
        latency_objective_ms: 500,
        gap_objective_ms: 300,
        priority: 1,
        targets: vec![Target { service: ServiceName::new(&format!("s{service}")), weight: 1 }],
        is_public: false,
        attempts_max: 2,
    }
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        6 => (0..ENTRIES).prop_map(|entry| Event::Begin { entry }),
        6 => (0..ENTRIES, 0_usize..4).prop_map(|(entry, stream)| Event::TakeUp { entry, stream }),
        3 => (0..SERVICES).prop_map(|service| Event::Move { service }),
        1 => (0..ENTRIES).prop_map(|entry| Event::Restart { entry }),
        2 => Just(Event::LosePower),
        1 => Just(Event::SwitchStore),
        1 => Just(Event::Restore),
        6 => prop_oneof![100_u64..1_000, 1_000_u64..10_000, 10_000_u64..70_000]
            .prop_map(|ms| Event::Pass { ms }),
    ];
    proptest::collection::vec(event, 1..80)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(29),
        ..ProptestConfig::default()
    })]

    /// No stream goes on at a service that did not begin it, and none is refused for long after the
    /// route has moved.
    #[test]
    fn moves_hold(events in events()) {
        let mut run = Run::new();
        for event in events {
            run.take(event);
        }
    }
}
