//! The suspects in requests that were answered recently.

use std::collections::BTreeSet;
use std::mem;

use filbertcleat_base::MonoTime;

use super::CrashSuspect;

/// The suspects in requests that were answered recently.
///
/// Each kind has bounds of its own: nearly all contents differ, and would displace rare prompt parts.
#[derive(Clone, Debug, Default)]
pub(super) struct SoundSuspects {
    contents: Generations,
    parts: Generations,
}

impl SoundSuspects {
    /// Records that a request with the suspect was answered.
    pub fn record(&mut self, now: MonoTime, suspect: CrashSuspect) {
        match suspect {
            CrashSuspect::Content(content) => self.contents.record(now, content.get()),
            CrashSuspect::Part(part) => self.parts.record(now, part.get()),
        }
    }

    /// Returns whether a request with the suspect was answered recently.
    pub fn contains(&self, now: MonoTime, suspect: CrashSuspect) -> bool {
        match suspect {
            CrashSuspect::Content(content) => self.contents.contains(now, content.get()),
            CrashSuspect::Part(part) => self.parts.contains(now, part.get()),
        }
    }
}

/// The hashes of the suspects of one kind, in two generations.
#[derive(Clone, Debug, Default)]
struct Generations {
    recent: BTreeSet<u64>,
    previous: BTreeSet<u64>,
    recent_since: MonoTime,
}

impl Generations {
    /// The time for which a generation is filled. A suspect stays known for one to two of them, in
    /// which each popular part of a prompt is answered many times.
    const GENERATION_MS: u64 = 30_000;
    /// The most suspects of a generation, about 75 KiB of them.
    const GENERATION_MAX: usize = 4_096;

    fn record(&mut self, now: MonoTime, hash: u64) {
        let age_ms = now.ms_since(self.recent_since);
        if age_ms >= Self::GENERATION_MS || self.recent.len() >= Self::GENERATION_MAX {
            self.previous = mem::take(&mut self.recent);
            if age_ms >= 2 * Self::GENERATION_MS {
                self.previous.clear();
            }
            self.recent_since = now;
        }
        self.recent.insert(hash);
    }

    fn contains(&self, now: MonoTime, hash: u64) -> bool {
        let age_ms = now.ms_since(self.recent_since);
        let is_recent = age_ms < 2 * Self::GENERATION_MS && self.recent.contains(&hash);
        is_recent || (age_ms < Self::GENERATION_MS && self.previous.contains(&hash))
    }
}
