//! Relates the ends of backend servers to what requests hold.
//!
//! A request may crash every server that runs it. It comes again under other ids, or such requests
//! have nothing in common but one part of their prompts, and each process sees only some of the
//! crashes. So each process marks the content and the prompt parts of the requests that had brought
//! no event when a server ended, all processes merge these marks, and requests that hold what
//! explains the crashes are turned away.

mod abandoned_runs;
mod crash_id;
mod crash_mark;
mod crash_suspect;
mod crash_verdict;
mod sound_suspects;
mod suspicion;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use filbertcleat_base::MonoTime;
use filbertcleat_base::mix_hashes;

pub use self::abandoned_runs::AbandonedRuns;
pub use self::crash_id::CrashId;
pub use self::crash_mark::CrashMark;
pub use self::crash_suspect::CrashSuspect;
pub use self::crash_verdict::CrashVerdict;
use self::sound_suspects::SoundSuspects;
use self::suspicion::Suspicion;
use self::suspicion::find_suspicions;
use crate::fact_time::FactTime;

/// The marks that crashes have left on suspects.
///
/// Merging marks is independent of their order and of repetition, so that all processes that are
/// connected come to the same marks.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    marks: BTreeMap<(CrashSuspect, CrashId), Mark>,
    sound: SoundSuspects,
    suspicions: Vec<Suspicion>,
    digest: u64,
}

/// What is known of one suspect and one crash.
#[derive(Clone, Copy, Debug)]
struct Mark {
    /// When the server ended.
    at: FactTime,
    run_ms: u64,
    is_cleared: bool,
    was_sound: bool,
}

impl CrashEvidence {
    /// The most marks kept: the suspects of some dozens of crashes.
    pub const MARKS_MAX: usize = 1_024;
    /// The most suspects that one crash marks at one process, so that no crash displaces the others.
    pub const CRASH_MARKS_MAX: usize = 32;
    /// The most marks in the row that keeps them, about 30 KiB of them.
    pub const KEPT_MAX: usize = 256;
    /// The time after which a mark is forgotten, which exceeds the longest interval of trials.
    const LIFETIME_MS: u64 = 3_600_000;

    /// Records that a server ended `age_ms` ago while requests with these suspects had brought no
    /// event, each for the given time in milliseconds. Returns the marks that are new.
    pub fn on_server_ended(
        &mut self,
        now: MonoTime,
        crash: CrashId,
        age_ms: u64,
        runs: impl IntoIterator<Item = (CrashSuspect, u64)>,
    ) -> Vec<CrashMark> {
        let mut runs_ms: BTreeMap<CrashSuspect, u64> = BTreeMap::new();
        for (suspect, run_ms) in runs {
            let longest_ms = runs_ms.entry(suspect).or_default();
            *longest_ms = run_ms.max(*longest_ms);
        }
        // A suspect that is already marked is more likely to be the cause.
        let (marked, others): (Vec<_>, Vec<_>) =
            runs_ms.into_iter().partition(|(suspect, _)| self.has_open_mark(*suspect));
        let marks = marked.into_iter().chain(others).take(Self::CRASH_MARKS_MAX);
        let marks: Vec<CrashMark> = marks
            .map(|(suspect, run_ms)| CrashMark {
                suspect,
                crash,
                age_ms,
                run_ms,
                is_cleared: false,
                was_sound: self.sound.contains(now, suspect),
            })
            .collect();
        self.merge(now, &marks)
    }

    /// Records that a server has answered a request with these suspects, which clears them. Returns
    /// the marks that were cleared.
    pub fn on_answered(&mut self, now: MonoTime, suspects: &[CrashSuspect]) -> Vec<CrashMark> {
        let mut cleared = Vec::new();
        for suspect in suspects {
            self.sound.record(now, *suspect);
            for (crash, mark) in self.marks_of(*suspect).filter(|(_, mark)| !mark.is_cleared) {
                cleared.push(CrashMark { is_cleared: true, ..mark.message(now, *suspect, crash) });
            }
        }
        if cleared.is_empty() { cleared } else { self.merge(now, &cleared) }
    }

    /// Adds the marks of another process. Returns those that told something new.
    pub fn merge(&mut self, now: MonoTime, marks: &[CrashMark]) -> Vec<CrashMark> {
        let mut news = Vec::new();
        for message in marks {
            if message.age_ms >= Self::LIFETIME_MS {
                continue;
            }
            let at = FactTime::ago(now, message.age_ms);
            let CrashMark { suspect, crash, run_ms, is_cleared, was_sound, .. } = *message;
            let known = self.marks.get(&(suspect, crash)).copied();
            // Delays make a time appear later, so the earliest is closest to the truth.
            let merged = Mark {
                at: known.map_or(at, |known| known.at.min(at)),
                run_ms: known.map_or(run_ms, |known| known.run_ms.max(run_ms)),
                is_cleared: is_cleared || known.is_some_and(|known| known.is_cleared),
                was_sound: was_sound || known.is_some_and(|known| known.was_sound),
            };
            self.marks.insert((suspect, crash), merged);
            if known.is_none_or(|known| !known.tells_all_of(merged)) {
                news.push(merged.message(now, suspect, crash));
            }
        }
        if !news.is_empty() {
            self.discard(now);
            self.suspicions = find_suspicions(&self.marks);
            self.digest = digest(&self.marks, &self.suspected());
        }
        news
    }

    /// Returns all marks.
    pub fn marks(&self, now: MonoTime) -> Vec<CrashMark> {
        let marks = self.marks.iter();
        marks.map(|((suspect, crash), mark)| mark.message(now, *suspect, *crash)).collect()
    }

    /// Returns the marks that have to outlast all processes: those on what requests are turned away
    /// for, or all open ones if `keeps_all`. Marks in `kept` are kept until they expire, also cleared
    /// ones: other processes have to learn that.
    pub fn marks_to_keep(
        &self,
        now: MonoTime,
        kept: &[CrashMark],
        keeps_all: bool,
    ) -> Vec<CrashMark> {
        let suspected = self.suspected();
        let kept: BTreeSet<_> = kept.iter().map(|mark| (mark.suspect, mark.crash)).collect();
        let is_kept = |mark: &CrashMark| kept.contains(&(mark.suspect, mark.crash));
        let mut marks = self.marks(now);
        marks.retain(|mark| {
            let is_wanted = keeps_all || suspected.contains(&mark.suspect);
            let is_current = mark.age_ms < Self::LIFETIME_MS;
            is_current && (is_kept(mark) || (is_wanted && !mark.is_cleared))
        });
        // Marks that are kept stay before others, so that processes don't displace each other's.
        marks.sort_by_key(|mark| {
            let is_suspected = suspected.contains(&mark.suspect);
            (mark.is_cleared, !is_suspected, !is_kept(mark), mark.age_ms, mark.crash)
        });
        marks.truncate(Self::KEPT_MAX);
        marks
    }

    /// Returns a number that is equal for equal marks and suspects, and 0 without marks.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns whether a request with these suspects may be sent to a server.
    pub fn verdict(&self, now: MonoTime, suspects: &[CrashSuspect]) -> CrashVerdict {
        let holding = self.suspicions.iter().filter(|suspicion| suspicion.applies_to(suspects));
        let wait_ms = holding.map(|suspicion| suspicion.trial_in_ms(now)).max();
        match wait_ms {
            None => CrashVerdict::Allowed,
            Some(0) => CrashVerdict::Trial,
            Some(wait_ms) => CrashVerdict::TurnedAway { wait_ms },
        }
    }

    /// Records that a request with these suspects is sent as a trial, which postpones the next one.
    /// Returns the marks that tell other processes.
    pub fn on_trial(
        &mut self,
        now: MonoTime,
        suspects: &[CrashSuspect],
        seed: u64,
    ) -> Vec<CrashMark> {
        let holding = self.suspicions.iter().filter(|suspicion| suspicion.applies_to(suspects));
        let tried: Vec<(CrashSuspect, u64)> =
            holding.flat_map(Suspicion::suspects).map(|suspect| (*suspect, 0)).collect();
        self.on_server_ended(now, CrashId::of_trial(now, seed), 0, tried)
    }

    /// Returns what requests are turned away for.
    pub fn suspected(&self) -> BTreeSet<CrashSuspect> {
        self.suspicions.iter().flat_map(Suspicion::suspects).copied().collect()
    }

    fn has_open_mark(&self, suspect: CrashSuspect) -> bool {
        self.marks_of(suspect).any(|(_, mark)| !mark.is_cleared)
    }

    fn marks_of(&self, suspect: CrashSuspect) -> impl Iterator<Item = (CrashId, Mark)> {
        let range = (suspect, CrashId::MIN)..=(suspect, CrashId::MAX);
        self.marks.range(range).map(|((_, crash), mark)| (*crash, *mark))
    }

    /// Discards expired marks, and beyond the limit cleared ones, then the oldest, and those that
    /// requests are turned away for last.
    fn discard(&mut self, now: MonoTime) {
        self.marks.retain(|_, mark| mark.at.age_ms(now) < Self::LIFETIME_MS);
        let Some(excess) = self.marks.len().checked_sub(Self::MARKS_MAX) else { return };
        let mut keys: Vec<_> = self.marks.iter().map(|(key, mark)| (*mark, *key)).collect();
        let suspected = self.suspected();
        keys.sort_unstable_by_key(|(mark, key)| {
            (!mark.is_cleared, suspected.contains(&key.0), mark.at, *key)
        });
        for (_, key) in keys.into_iter().take(excess) {
            self.marks.remove(&key);
        }
    }
}

impl Mark {
    /// Returns whether another mark on the same suspect and crash tells nothing more.
    fn tells_all_of(self, other: Self) -> bool {
        self.at <= other.at
            && self.run_ms >= other.run_ms
            && self.is_cleared >= other.is_cleared
            && self.was_sound >= other.was_sound
    }

    fn message(self, now: MonoTime, suspect: CrashSuspect, crash: CrashId) -> CrashMark {
        let Self { at, run_ms, is_cleared, was_sound } = self;
        CrashMark { suspect, crash, age_ms: at.age_ms(now), run_ms, is_cleared, was_sound }
    }
}

/// Hashes marks without their times, which no two clocks measure alike, and the suspects that follow
/// from the times.
fn digest(
    marks: &BTreeMap<(CrashSuspect, CrashId), Mark>,
    suspected: &BTreeSet<CrashSuspect>,
) -> u64 {
    let suspects = suspected.iter().map(|suspect| mix_hashes(suspect.stable_hash(), u64::MAX));
    let hashes = marks.iter().map(|((suspect, crash), mark)| {
        let flags = u64::from(mark.is_cleared) * 2 + u64::from(mark.was_sound) + 1;
        let key = mix_hashes(suspect.stable_hash(), crash.get());
        mix_hashes(mix_hashes(key, mark.run_ms), flags)
    });
    hashes.chain(suspects).fold(0, |digest, hash| digest ^ hash)
}
