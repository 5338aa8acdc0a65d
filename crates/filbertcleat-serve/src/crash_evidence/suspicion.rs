//! The parts of prompts that explain crashes.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use filbertcleat_base::MonoTime;

use super::CrashId;
use super::Mark;
use crate::PromptPart;
use crate::fact_time::FactTime;

/// Parts of prompts under which servers have ended, and nothing tells them apart.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    parts: Vec<PromptPart>,
    /// The crashes that the parts explain, with their times.
    crashes: BTreeMap<CrashId, FactTime>,
    /// The number of crash moments beyond those that raised the suspicion.
    excess_moments: usize,
}

impl Suspicion {
    /// The time until a prompt is sent as a first trial. It doubles with each further crash.
    const TRIAL_INTERVAL_MS: u64 = 30_000;
    /// How often the interval doubles, which makes it 32 minutes at most.
    const DOUBLINGS_MAX: usize = 6;

    /// Returns the parts.
    pub fn parts(&self) -> &[PromptPart] {
        &self.parts
    }

    /// Returns whether a prompt holds the parts. A prompt with only some of them is sent, since its
    /// answer tells these parts from the others.
    pub fn applies_to(&self, parts: &[PromptPart]) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }

    /// Returns the time until the next trial in milliseconds; 0 if one is due.
    pub fn trial_in_ms(&self, now: MonoTime) -> u64 {
        let interval_ms = Self::TRIAL_INTERVAL_MS << self.excess_moments.min(Self::DOUBLINGS_MAX);
        let last = self.crashes.values().max();
        interval_ms.saturating_sub(last.map_or(0, |last| last.age_ms(now)))
    }
}

/// The crash moments after which a part is suspected that was never answered.
const MOMENTS_MIN: usize = 3;
/// The same for a part that had been answered before: servers may end for other reasons in short
/// succession while requests with a popular part are on all of them.
const SOUND_MOMENTS_MIN: usize = 5;
/// Crashes within this time count as one moment, as those of a failure domain have one cause.
const MOMENT_MS: u64 = 100;

/// The open marks of one part.
struct Suspect {
    part: PromptPart,
    crashes: BTreeMap<CrashId, FactTime>,
    moments: usize,
    moments_min: usize,
}

/// Returns the parts that explain crashes. A crash that one part explains does not count against the
/// others that were marked by it, such as the common first part of all prompts.
pub(super) fn find_suspicions(marks: &BTreeMap<(PromptPart, CrashId), Mark>) -> Vec<Suspicion> {
    let mut suspects = suspects(marks);
    suspects.sort_by_key(|suspect| (Reverse(suspect.moments), suspect.moments_min, suspect.part));
    let mut found: Vec<Suspicion> = Vec::new();
    for suspect in suspects {
        if suspect.moments < suspect.moments_min {
            continue;
        }
        let crash_ids = || suspect.crashes.keys();
        if let Some(equal) = found.iter_mut().find(|other| other.crashes.keys().eq(crash_ids())) {
            equal.parts.push(suspect.part);
            continue;
        }
        let is_explained =
            |crash: &CrashId| found.iter().any(|other| other.crashes.contains_key(crash));
        let unexplained = suspect.crashes.iter().filter(|(crash, _)| !is_explained(crash));
        if moments(unexplained.map(|(_, at)| *at)) < suspect.moments_min {
            continue;
        }
        found.push(Suspicion {
            parts: vec![suspect.part],
            crashes: suspect.crashes,
            excess_moments: suspect.moments - suspect.moments_min,
        });
    }
    found
}

fn suspects(marks: &BTreeMap<(PromptPart, CrashId), Mark>) -> Vec<Suspect> {
    let mut suspects: Vec<Suspect> = Vec::new();
    for ((part, crash), mark) in marks.iter().filter(|(_, mark)| !mark.is_cleared) {
        if suspects.last().is_none_or(|last| last.part != *part) {
            let (part, crashes) = (*part, BTreeMap::new());
            suspects.push(Suspect { part, crashes, moments: 0, moments_min: MOMENTS_MIN });
        }
        let Some(suspect) = suspects.last_mut() else { continue };
        suspect.crashes.insert(*crash, mark.at);
        if mark.was_sound {
            suspect.moments_min = SOUND_MOMENTS_MIN;
        }
    }
    for suspect in &mut suspects {
        suspect.moments = moments(suspect.crashes.values().copied());
    }
    suspects
}

/// Counts the moments of some crash times.
fn moments(times: impl Iterator<Item = FactTime>) -> usize {
    let mut times: Vec<FactTime> = times.collect();
    times.sort_unstable();
    let (mut count, mut since) = (0, None);
    for at in times {
        if since.is_none_or(|since| at.ms_since(since) >= MOMENT_MS) {
            count += 1;
            since = Some(at);
        }
    }
    count
}
