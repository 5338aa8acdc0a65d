//! The suspects that explain crashes.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use filbertcleat_base::MonoTime;

use super::CrashEvidence;
use super::CrashId;
use super::CrashSuspect;
use super::Mark;
use crate::fact_time::FactTime;

/// Suspects under which servers have ended, and nothing tells them apart.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    suspects: Vec<CrashSuspect>,
    crashes: Crashes,
    /// The number of crash moments beyond those that raised the suspicion.
    excess_moments: usize,
}

/// The crashes that a suspect explains, with the times that count its moments.
type Crashes = BTreeMap<CrashId, RunEnd>;

impl Suspicion {
    /// The time until a request is sent as a first trial. It doubles with each further crash.
    const TRIAL_INTERVAL_MS: u64 = 30_000;
    /// How often the interval doubles, which makes it 32 minutes at most.
    const DOUBLINGS_MAX: usize = 6;

    /// Returns the suspects.
    pub fn suspects(&self) -> &[CrashSuspect] {
        &self.suspects
    }

    /// Returns whether a request holds the suspects. A request with only some of them is sent, since
    /// its answer tells these from the others.
    pub fn applies_to(&self, suspects: &[CrashSuspect]) -> bool {
        self.suspects.iter().all(|suspect| suspects.contains(suspect))
    }

    /// Returns the time until the next trial in milliseconds; 0 if one is due.
    ///
    /// A content is the same at each trial, so that trials of it end after some crashes.
    pub fn trial_in_ms(&self, now: MonoTime) -> u64 {
        let is_content = matches!(self.suspects[..], [CrashSuspect::Content(_)]);
        let interval_ms = if is_content && self.excess_moments >= Self::DOUBLINGS_MAX {
            CrashEvidence::LIFETIME_MS
        } else {
            Self::TRIAL_INTERVAL_MS << self.excess_moments.min(Self::DOUBLINGS_MAX)
        };
        let last = self.crashes.values().map(|run| run.at).max();
        interval_ms.saturating_sub(last.map_or(0, |last| last.age_ms(now)))
    }
}

/// The crash moments after which a suspect explains crashes that was never answered.
const MOMENTS_MIN: usize = 3;
/// The same for a suspect that had been answered before: servers may end for other reasons in short
/// succession while requests with a popular part or content are on all of them.
const SOUND_MOMENTS_MIN: usize = 5;
/// Crashes under one part within this time count as one moment, as those of a failure domain have
/// one cause.
const MOMENT_MS: u64 = 100;
/// By how much times that different processes have told may overlap: a network delay.
const OVERLAP_MAX_MS: u64 = 20;

/// The end of a request's run at a server, by the end of the server.
#[derive(Clone, Copy, Debug)]
struct RunEnd {
    at: FactTime,
    run_ms: u64,
}

/// The open marks of one suspect.
struct Explanation {
    suspect: CrashSuspect,
    crashes: Crashes,
    moments: usize,
    moments_min: usize,
}

/// Returns the suspects that explain crashes. A crash that one suspect explains does not count
/// against the others that were marked by it, such as the common first part of all prompts.
pub(super) fn find_suspicions(marks: &BTreeMap<(CrashSuspect, CrashId), Mark>) -> Vec<Suspicion> {
    let mut explanations = explanations(marks);
    explanations.sort_by_key(|explanation| {
        (Reverse(explanation.moments), explanation.moments_min, explanation.suspect)
    });
    let has_same_content = |explanation: &Explanation| {
        let mut contents = explanations.iter().filter(|other| is_content(other.suspect));
        contents.any(|content| content.crashes.keys().eq(explanation.crashes.keys()))
    };
    let mut found: Vec<Suspicion> = Vec::new();
    for explanation in &explanations {
        let Explanation { suspect, crashes, moments, moments_min } = explanation;
        if moments < moments_min {
            continue;
        }
        let is_part = !is_content(*suspect);
        if is_part && has_same_content(explanation) {
            // The content is the narrower cause, and other requests with the part may be sound.
            continue;
        }
        let equal = found.iter_mut().find(|other| other.crashes.keys().eq(crashes.keys()));
        if let Some(equal) = equal.filter(|_| is_part) {
            equal.suspects.push(*suspect);
            continue;
        }
        let is_explained = |crash: &CrashId| {
            found.iter().any(|other| {
                // Each content is turned away by itself, unless another cause explains more.
                (is_part || other.crashes.len() > crashes.len())
                    && other.crashes.contains_key(crash)
            })
        };
        let unexplained = crashes.iter().filter(|(crash, _)| !is_explained(crash));
        if count_moments(*suspect, unexplained.map(|(_, run)| *run)) < *moments_min {
            continue;
        }
        found.push(Suspicion {
            suspects: vec![*suspect],
            crashes: crashes.clone(),
            excess_moments: moments - moments_min,
        });
    }
    found
}

fn is_content(suspect: CrashSuspect) -> bool {
    matches!(suspect, CrashSuspect::Content(_))
}

fn explanations(marks: &BTreeMap<(CrashSuspect, CrashId), Mark>) -> Vec<Explanation> {
    let mut explanations: Vec<Explanation> = Vec::new();
    for ((suspect, crash), mark) in marks.iter().filter(|(_, mark)| !mark.is_cleared) {
        if explanations.last().is_none_or(|last| last.suspect != *suspect) {
            explanations.push(Explanation {
                suspect: *suspect,
                crashes: Crashes::new(),
                moments: 0,
                moments_min: MOMENTS_MIN,
            });
        }
        let Some(explanation) = explanations.last_mut() else { continue };
        explanation.crashes.insert(*crash, RunEnd { at: mark.at, run_ms: mark.run_ms });
        if mark.was_sound {
            explanation.moments_min = SOUND_MOMENTS_MIN;
        }
    }
    for explanation in &mut explanations {
        let runs = explanation.crashes.values().copied();
        explanation.moments = count_moments(explanation.suspect, runs);
    }
    explanations
}

/// Counts the moments of some crashes.
///
/// A content is at one server after the other, since it comes again only when its last run has
/// ended. Ends of servers that ran it at the same time have another cause.
fn count_moments(suspect: CrashSuspect, runs: impl Iterator<Item = RunEnd>) -> usize {
    let mut runs: Vec<RunEnd> = runs.collect();
    runs.sort_unstable_by_key(|run| run.at);
    let (mut count, mut last): (usize, Option<FactTime>) = (0, None);
    for run in runs {
        let is_later = last.is_none_or(|last| match suspect {
            CrashSuspect::Content(_) => run.at.ms_since(last) + OVERLAP_MAX_MS >= run.run_ms,
            CrashSuspect::Part(_) => run.at.ms_since(last) >= MOMENT_MS,
        });
        if is_later {
            count += 1;
            last = Some(run.at);
        }
    }
    count
}
