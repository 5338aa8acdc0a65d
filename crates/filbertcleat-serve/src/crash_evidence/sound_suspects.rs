//! The parts of prompts that were answered recently.

use std::collections::BTreeSet;
use std::mem;

use filbertcleat_base::MonoTime;

use crate::PromptPart;

/// The parts of prompts that were answered recently, in two generations.
#[derive(Clone, Debug, Default)]
pub(super) struct SoundParts {
    recent: BTreeSet<PromptPart>,
    previous: BTreeSet<PromptPart>,
    recent_since: MonoTime,
}

impl SoundParts {
    /// The time for which a generation is filled. A part stays known for one to two of them, in
    /// which each popular part is answered many times.
    const GENERATION_MS: u64 = 30_000;
    /// The most parts of a generation, about 100 KiB of them.
    const GENERATION_MAX: usize = 4_096;

    /// Records that a prompt with the part was answered.
    pub fn record(&mut self, now: MonoTime, part: PromptPart) {
        let age_ms = now.ms_since(self.recent_since);
        if age_ms >= Self::GENERATION_MS || self.recent.len() >= Self::GENERATION_MAX {
            self.previous = mem::take(&mut self.recent);
            if age_ms >= 2 * Self::GENERATION_MS {
                self.previous.clear();
            }
            self.recent_since = now;
        }
        self.recent.insert(part);
    }

    /// Returns whether a prompt with the part was answered recently.
    pub fn contains(&self, now: MonoTime, part: PromptPart) -> bool {
        let age_ms = now.ms_since(self.recent_since);
        let is_recent = age_ms < 2 * Self::GENERATION_MS && self.recent.contains(&part);
        is_recent || (age_ms < Self::GENERATION_MS && self.previous.contains(&part))
    }
}
