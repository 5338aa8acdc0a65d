//! The suspects in requests that were answered recently.

use std::collections::BTreeSet;
use std::mem;

use filbertcleat_base::MonoTime;

use super::CrashSuspect;

/// The suspects in requests that were answered recently, in two generations.
#[derive(Clone, Debug, Default)]
pub(super) struct SoundSuspects {
    recent: BTreeSet<CrashSuspect>,
    previous: BTreeSet<CrashSuspect>,
    recent_since: MonoTime,
}

impl SoundSuspects {
    /// The time for which a generation is filled. A suspect stays known for one to two of them, in
    /// which each popular part of a prompt is answered many times.
    const GENERATION_MS: u64 = 30_000;
    /// The most suspects of a generation, about 150 KiB of them.
    const GENERATION_MAX: usize = 4_096;

    /// Records that a request with the suspect was answered.
    pub fn record(&mut self, now: MonoTime, suspect: CrashSuspect) {
        let age_ms = now.ms_since(self.recent_since);
        if age_ms >= Self::GENERATION_MS || self.recent.len() >= Self::GENERATION_MAX {
            self.previous = mem::take(&mut self.recent);
            if age_ms >= 2 * Self::GENERATION_MS {
                self.previous.clear();
            }
            self.recent_since = now;
        }
        self.recent.insert(suspect);
    }

    /// Returns whether a request with the suspect was answered recently.
    pub fn contains(&self, now: MonoTime, suspect: CrashSuspect) -> bool {
        let age_ms = now.ms_since(self.recent_since);
        let is_recent = age_ms < 2 * Self::GENERATION_MS && self.recent.contains(&suspect);
        is_recent || (age_ms < Self::GENERATION_MS && self.previous.contains(&suspect))
    }
}
