//! Requests that servers may go on running after nobody awaits their answers any more.

use std::collections::VecDeque;

use filbertcleat_base::MonoTime;

use super::CrashId;
use super::CrashSuspect;

/// Requests that servers may go on running after nobody awaits their answers any more.
///
/// A server that ends while it runs one is noticed by the next request that it breaks off or whose
/// connection it refuses.
#[derive(Clone, Debug, Default)]
pub struct AbandonedRuns {
    runs: VecDeque<AbandonedRun>,
}

#[derive(Clone, Debug)]
struct AbandonedRun {
    crash: CrashId,
    abandoned_at: MonoTime,
    suspects: Vec<CrashSuspect>,
    run_ms: u64,
}

impl AbandonedRuns {
    /// How long a server runs an abandoned request that it has not noticed to be abandoned.
    const LIFETIME_MS: u64 = 2_000;
    /// The most requests kept, some seconds of them.
    const COUNT_MAX: usize = 256;

    /// Records a request that has been abandoned after it ran for `run_ms`. `crash` is the possible
    /// end of its server.
    pub fn record(
        &mut self,
        now: MonoTime,
        crash: CrashId,
        suspects: &[CrashSuspect],
        run_ms: u64,
    ) {
        self.runs.retain(|run| now.ms_since(run.abandoned_at) < Self::LIFETIME_MS);
        if self.runs.len() >= Self::COUNT_MAX {
            self.runs.pop_front();
        }
        let suspects = suspects.to_vec();
        self.runs.push_back(AbandonedRun { crash, abandoned_at: now, suspects, run_ms });
    }

    /// Removes the requests that a server may have been running when it ended, and returns their
    /// suspects, each with the time in milliseconds that it had run.
    pub fn take(&mut self, now: MonoTime, crash: CrashId) -> Vec<(CrashSuspect, u64)> {
        let mut taken = Vec::new();
        self.runs.retain(|run| {
            let age_ms = now.ms_since(run.abandoned_at);
            let is_ended = run.crash == crash;
            if is_ended && age_ms < Self::LIFETIME_MS {
                let run_ms = run.run_ms + age_ms;
                taken.extend(run.suspects.iter().map(|suspect| (*suspect, run_ms)));
            }
            !is_ended && age_ms < Self::LIFETIME_MS
        });
        taken
    }
}
