//! Relates the ends of backend servers to parts of prompts.
//!
//! A prompt may crash every server that begins to answer it. Its requests have nothing in common
//! but one part of their prompts, and each process sees only some of the crashes. So each process
//! marks the parts of the requests that had brought no event when a server ended, all processes
//! merge these marks, and prompts with a part that explains the crashes are turned away.

mod crash_id;
mod crash_mark;
mod prompt_verdict;
mod sound_parts;
mod suspicion;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use filbertcleat_base::MonoTime;
use filbertcleat_base::mix_hashes;

pub use self::crash_id::CrashId;
pub use self::crash_mark::CrashMark;
pub use self::prompt_verdict::PromptVerdict;
use self::sound_parts::SoundParts;
use self::suspicion::Suspicion;
use self::suspicion::find_suspicions;
use crate::PromptPart;
use crate::fact_time::FactTime;

/// The marks that crashes have left on parts of prompts.
///
/// Merging marks is independent of their order and of repetition, so that all processes that are
/// connected come to the same marks.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    marks: BTreeMap<(PromptPart, CrashId), Mark>,
    sound: SoundParts,
    suspicions: Vec<Suspicion>,
    digest: u64,
}

/// What is known of one part and one crash.
#[derive(Clone, Copy, Debug)]
struct Mark {
    /// When the server ended.
    at: FactTime,
    is_cleared: bool,
    was_sound: bool,
}

impl CrashEvidence {
    /// The most marks kept: the parts of some dozens of crashes.
    pub const MARKS_MAX: usize = 1_024;
    /// The most parts that one crash marks at one process, so that no crash displaces the others.
    pub const CRASH_MARKS_MAX: usize = 32;
    /// The time after which a mark is forgotten, which exceeds the longest interval of trials.
    const LIFETIME_MS: u64 = 3_600_000;

    /// Records that a server ended `age_ms` ago while requests with these parts had brought no
    /// event. Returns the marks that are new.
    pub fn on_server_ended(
        &mut self,
        now: MonoTime,
        crash: CrashId,
        age_ms: u64,
        parts: impl IntoIterator<Item = PromptPart>,
    ) -> Vec<CrashMark> {
        // A part that is already marked is more likely to be the cause.
        let (marked, others): (BTreeSet<_>, BTreeSet<_>) =
            parts.into_iter().partition(|part| self.has_open_mark(*part));
        let marks = marked.into_iter().chain(others).take(Self::CRASH_MARKS_MAX);
        let marks: Vec<CrashMark> = marks
            .map(|part| CrashMark {
                part,
                crash,
                age_ms,
                is_cleared: false,
                was_sound: self.sound.contains(now, part),
            })
            .collect();
        self.merge(now, &marks)
    }

    /// Records that a server has answered a prompt with these parts, which clears them. Returns the
    /// marks that were cleared.
    pub fn on_answered(&mut self, now: MonoTime, parts: &[PromptPart]) -> Vec<CrashMark> {
        let mut cleared = Vec::new();
        for part in parts {
            self.sound.record(now, *part);
            for (crash, mark) in self.marks_of(*part).filter(|(_, mark)| !mark.is_cleared) {
                cleared.push(CrashMark { is_cleared: true, ..mark.message(now, *part, crash) });
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
            let CrashMark { part, crash, is_cleared, was_sound, .. } = *message;
            let known = self.marks.get(&(part, crash)).copied();
            let merged = Mark {
                at: known.map_or(at, |known| known.at),
                is_cleared: is_cleared || known.is_some_and(|known| known.is_cleared),
                was_sound: was_sound || known.is_some_and(|known| known.was_sound),
            };
            if known.is_none_or(|known| !known.tells_all_of(merged)) {
                self.marks.insert((part, crash), merged);
                news.push(merged.message(now, part, crash));
            }
        }
        if !news.is_empty() {
            self.discard(now);
            self.suspicions = find_suspicions(&self.marks);
            self.digest = digest(&self.marks);
        }
        news
    }

    /// Returns all marks.
    pub fn marks(&self, now: MonoTime) -> Vec<CrashMark> {
        let marks = self.marks.iter();
        marks.map(|((part, crash), mark)| mark.message(now, *part, *crash)).collect()
    }

    /// Returns a number that is equal for equal marks, and 0 without marks.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns whether a prompt with these parts may be sent to a server.
    pub fn verdict(&self, now: MonoTime, parts: &[PromptPart]) -> PromptVerdict {
        let holding = self.suspicions.iter().filter(|suspicion| suspicion.applies_to(parts));
        let wait_ms = holding.map(|suspicion| suspicion.trial_in_ms(now)).max();
        match wait_ms {
            None => PromptVerdict::Allowed,
            Some(0) => PromptVerdict::Trial,
            Some(wait_ms) => PromptVerdict::TurnedAway { wait_ms },
        }
    }

    /// Records that a prompt with these parts is sent as a trial, which postpones the next one.
    /// Returns the marks that tell other processes.
    pub fn on_trial(&mut self, now: MonoTime, parts: &[PromptPart], seed: u64) -> Vec<CrashMark> {
        let holding = self.suspicions.iter().filter(|suspicion| suspicion.applies_to(parts));
        let tried: Vec<PromptPart> =
            holding.flat_map(|suspicion| suspicion.parts().iter().copied()).collect();
        self.on_server_ended(now, CrashId::of_trial(now, seed), 0, tried)
    }

    /// Returns the parts that prompts are turned away for.
    pub fn suspected_parts(&self) -> BTreeSet<PromptPart> {
        self.suspicions.iter().flat_map(Suspicion::parts).copied().collect()
    }

    fn has_open_mark(&self, part: PromptPart) -> bool {
        self.marks_of(part).any(|(_, mark)| !mark.is_cleared)
    }

    fn marks_of(&self, part: PromptPart) -> impl Iterator<Item = (CrashId, Mark)> {
        let range = (part, CrashId::MIN)..=(part, CrashId::MAX);
        self.marks.range(range).map(|((_, crash), mark)| (*crash, *mark))
    }

    /// Discards expired marks, and beyond the limit cleared ones, then the oldest, and those of
    /// suspected parts last.
    fn discard(&mut self, now: MonoTime) {
        self.marks.retain(|_, mark| mark.at.age_ms(now) < Self::LIFETIME_MS);
        let Some(excess) = self.marks.len().checked_sub(Self::MARKS_MAX) else { return };
        let mut keys: Vec<_> = self.marks.iter().map(|(key, mark)| (*mark, *key)).collect();
        let suspected = self.suspected_parts();
        keys.sort_unstable_by_key(|(mark, key)| {
            (!mark.is_cleared, suspected.contains(&key.0), mark.at, *key)
        });
        for (_, key) in keys.into_iter().take(excess) {
            self.marks.remove(&key);
        }
    }
}

impl Mark {
    /// Returns whether another mark on the same part and crash tells nothing more.
    fn tells_all_of(self, other: Self) -> bool {
        self.is_cleared >= other.is_cleared && self.was_sound >= other.was_sound
    }

    fn message(self, now: MonoTime, part: PromptPart, crash: CrashId) -> CrashMark {
        let Self { at, is_cleared, was_sound } = self;
        CrashMark { part, crash, age_ms: at.age_ms(now), is_cleared, was_sound }
    }
}

fn digest(marks: &BTreeMap<(PromptPart, CrashId), Mark>) -> u64 {
    let hashes = marks.iter().map(|((part, crash), mark)| {
        let flags = u64::from(mark.is_cleared) * 2 + u64::from(mark.was_sound) + 1;
        mix_hashes(mix_hashes(part.get(), crash.get()), flags)
    });
    hashes.fold(0, |digest, hash| digest ^ hash)
}
