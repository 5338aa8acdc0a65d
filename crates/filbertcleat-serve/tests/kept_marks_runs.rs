//! Runs of entries that keep marks of crashes in one row, through outages and losses of all of them.

use filbertcleat_base::MonoTime;
use filbertcleat_serve::CrashEvidence;
use filbertcleat_serve::CrashId;
use filbertcleat_serve::CrashMark;
use filbertcleat_serve::CrashSuspect;
use filbertcleat_serve::KeepStep;
use filbertcleat_serve::KeptMarks;
use filbertcleat_serve::KeptRow;
use filbertcleat_serve::RequestContent;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ENTRIES: usize = 4;
/// The time between two steps of an entry.
const TICK_MS: u64 = 100;
/// The time in which all that was seen has to be kept once the store is there.
const SETTLE_MS: u64 = 10_000;

/// What happens in a run.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A server ends under a request, at one entry.
    Crash { entry: usize, content: u64 },
    /// A request is answered, which clears its content.
    Answer { entry: usize, content: u64 },
    /// An entry starts again and knows nothing.
    Restart(usize),
    /// All entries start again.
    LosePower,
    /// The store goes away or comes back. Writes during an outage may take effect all the same.
    SwitchStore { loses_answers: bool },
    /// The store comes back from the copy of its first row.
    Restore,
    /// Time passes.
    Pass { ms: u64 },
}

struct Entry {
    kept: KeptMarks,
    evidence: CrashEvidence,
    seen_version: u64,
}

struct Run {
    now_ms: u64,
    crashes: u64,
    /// Whether agents pass on marks between entries.
    has_agents: bool,
    is_away: bool,
    loses_answers: bool,
    /// The version of the row and its marks, whose ages are times of the store's clock here.
    row: KeptRow,
    entries: Vec<Entry>,
}

impl Run {
    fn new(has_agents: bool) -> Self {
        let mut run = Self {
            now_ms: 10_000,
            crashes: 0,
            has_agents,
            is_away: false,
            loses_answers: false,
            row: KeptRow::default(),
            entries: Vec::new(),
        };
        run.entries = (0..ENTRIES).map(|_| run.start()).collect();
        run
    }

    fn now(&self) -> MonoTime {
        MonoTime::from_ms(self.now_ms)
    }

    fn start(&self) -> Entry {
        let (kept, evidence) = (KeptMarks::new(self.now()), CrashEvidence::default());
        Entry { kept, evidence, seen_version: 0 }
    }

    fn take(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Crash { entry, content } => {
                self.crashes += 1;
                let (crash, run) = (CrashId::new(self.crashes), (suspect(content), 50));
                let seen = &mut self.entries[entry];
                let news = seen.evidence.on_server_ended(now, crash, 0, [run]);
                seen.kept.on_seen();
                self.tell(entry, &news);
            }
            Event::Answer { entry, content } => {
                let seen = &mut self.entries[entry];
                let news = seen.evidence.on_answered(now, &[suspect(content)]);
                seen.kept.on_seen();
                self.tell(entry, &news);
            }
            Event::Restart(entry) => {
                self.entries[entry] = self.start();
                self.exchange();
            }
            Event::LosePower => self.entries = (0..ENTRIES).map(|_| self.start()).collect(),
            Event::SwitchStore { loses_answers } => {
                self.is_away = !self.is_away;
                self.loses_answers = loses_answers;
            }
            Event::Restore => {
                self.row = KeptRow { version: self.row.version / 2, marks: Vec::new() };
                for (number, entry) in (0..).zip(&mut self.entries) {
                    entry.kept.on_restored(now, number << 40);
                    entry.seen_version = 0;
                }
            }
            Event::Pass { ms } => self.pass(ms),
        }
    }

    /// Tells the other entries through the agents.
    fn tell(&mut self, from: usize, marks: &[CrashMark]) {
        if !self.has_agents || marks.is_empty() {
            return;
        }
        let now = self.now();
        for (number, entry) in self.entries.iter_mut().enumerate().filter(|(to, _)| *to != from) {
            let before = entry.evidence.suspected();
            entry.evidence.merge(now, marks);
            if entry.evidence.suspected() != before {
                entry.kept.on_told(now, ENTRIES as u32, number as u64);
            }
        }
    }

    /// Lets all entries compare what they know through the agents.
    fn exchange(&mut self) {
        for entry in 0..ENTRIES {
            let marks = self.entries[entry].evidence.marks(self.now());
            self.tell(entry, &marks);
        }
    }

    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.now_ms += TICK_MS;
            for entry in 0..ENTRIES {
                // A step may follow the one before at once.
                for _ in 0..4 {
                    self.step(entry);
                }
            }
            self.exchange();
        }
    }

    fn step(&mut self, number: usize) {
        let now = self.now();
        let is_isolated = !self.has_agents;
        let entry = &mut self.entries[number];
        match entry.kept.step(now, &entry.evidence, is_isolated) {
            KeepStep::Wait { .. } => {}
            KeepStep::Read | KeepStep::Watch | KeepStep::Write(_)
                if self.is_away && !self.loses_answers =>
            {
                entry.kept.on_failed(now);
            }
            KeepStep::Watch if entry.seen_version == self.row.version => {}
            KeepStep::Read | KeepStep::Watch => {
                if self.is_away {
                    entry.kept.on_failed(now);
                    return;
                }
                let row = self.read();
                let entry = &mut self.entries[number];
                entry.evidence.merge(now, &row.marks);
                entry.seen_version = row.version;
                entry.kept.on_read(row);
            }
            KeepStep::Write(row) => self.write(number, &row),
        }
    }

    fn write(&mut self, number: usize, row: &KeptRow) {
        let now = self.now();
        let is_current = row.version == self.row.version;
        if is_current {
            let marks = row.marks.iter();
            let marks = marks.map(|mark| CrashMark { age_ms: self.now_ms - mark.age_ms, ..*mark });
            self.row = KeptRow { version: row.version + 1, marks: marks.collect() };
        }
        let current = self.read();
        let entry = &mut self.entries[number];
        if self.is_away {
            entry.kept.on_failed(now);
        } else if is_current {
            entry.seen_version = current.version;
            entry.kept.on_written(current);
        } else {
            entry.evidence.merge(now, &current.marks);
            entry.seen_version = current.version;
            entry.kept.on_conflict(now, current, number as u64);
        }
    }

    /// Returns the row with the ages of its marks.
    fn read(&self) -> KeptRow {
        let marks = self.row.marks.iter();
        let marks = marks.map(|mark| CrashMark { age_ms: self.now_ms - mark.age_ms, ..*mark });
        KeptRow { version: self.row.version, marks: marks.collect() }
    }

    /// Returns what all entries turn away, after the store has been there for a while.
    fn settle(&mut self) -> Vec<CrashSuspect> {
        self.is_away = false;
        self.pass(SETTLE_MS);
        let first = self.entries[0].evidence.suspected();
        for entry in &self.entries {
            assert_eq!(entry.evidence.suspected(), first, "entries differ");
        }
        first.into_iter().collect()
    }
}

fn suspect(content: u64) -> CrashSuspect {
    CrashSuspect::Content(RequestContent::new(content))
}

fn arbitrary_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (0..ENTRIES, 0..3_u64).prop_map(|(entry, content)| Event::Crash { entry, content }),
        1 => (0..ENTRIES, 0..3_u64).prop_map(|(entry, content)| Event::Answer { entry, content }),
        1 => (0..ENTRIES).prop_map(Event::Restart),
        1 => Just(Event::LosePower),
        2 => any::<bool>().prop_map(|loses_answers| Event::SwitchStore { loses_answers }),
        1 => Just(Event::Restore),
        6 => (0..4_000_u64).prop_map(|ms| Event::Pass { ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, rng_seed: RngSeed::Fixed(33), ..ProptestConfig::default() })]

    /// What all entries turn away outlasts all of them, and nothing is made up.
    #[test]
    fn suspects_outlast_all(
        events in proptest::collection::vec(arbitrary_event(), 0..40),
        has_agents in any::<bool>(),
    ) {
        let mut run = Run::new(has_agents);
        for event in events {
            run.take(event);
        }
        let before = run.settle();

        run.take(Event::LosePower);

        prop_assert_eq!(run.settle(), before);
    }

    /// The row stays quiet while nothing happens: calls are priced.
    #[test]
    fn row_settles(
        events in proptest::collection::vec(arbitrary_event(), 0..40),
        has_agents in any::<bool>(),
    ) {
        let mut run = Run::new(has_agents);
        for event in events {
            run.take(event);
        }
        run.settle();
        let version = run.row.version;

        run.pass(SETTLE_MS);

        prop_assert_eq!(run.row.version, version);
    }
}
