//! What processes learn from answers of backend servers and tell each other.

mod fact;
mod leaving_mark;
mod leaving_servers;

use filbertcleat_base::MonoTime;

pub use self::fact::Fact;
pub use self::leaving_mark::LeavingMark;
use self::leaving_servers::LeavingServers;
use crate::CrashEvidence;
use crate::CrashMark;
use crate::ServerId;

/// What processes have learned and told each other.
///
/// Merging is independent of order and repetition: all processes that are connected come to the
/// same facts, whatever was lost, repeated or forgotten by a restart. Each kind of fact is bounded.
#[derive(Clone, Debug, Default)]
pub struct SharedFacts {
    crashes: CrashEvidence,
    leaving: LeavingServers,
    digest: u64,
}

impl SharedFacts {
    /// The most announcements of leaving that are kept.
    pub const LEAVING_MAX: usize = LeavingServers::COUNT_MAX;

    /// Adds the facts of another process. Returns those that told something new.
    pub fn merge(&mut self, now: MonoTime, facts: &[Fact]) -> Vec<Fact> {
        let mut news = Vec::new();
        let mut marks = Vec::new();
        for fact in facts {
            match fact {
                Fact::Crash(mark) => marks.push(*mark),
                Fact::Leaving(mark) => {
                    if self.leaving.merge(now, mark) {
                        news.push(fact.clone());
                    }
                }
            }
        }
        news.extend(self.crashes.merge(now, &marks).into_iter().map(Fact::Crash));
        if !news.is_empty() {
            self.update_digest();
        }
        news
    }

    /// Changes the crash evidence by what this process has seen itself. Returns the facts that are
    /// new.
    pub fn change_crashes(
        &mut self,
        change: impl FnOnce(&mut CrashEvidence) -> Vec<CrashMark>,
    ) -> Vec<Fact> {
        let marks = change(&mut self.crashes);
        if !marks.is_empty() {
            self.update_digest();
        }
        marks.into_iter().map(Fact::Crash).collect()
    }

    /// Returns the crash evidence.
    pub fn crashes(&self) -> &CrashEvidence {
        &self.crashes
    }

    /// Returns whether this start of a server has announced that it is leaving.
    pub fn is_leaving(&self, server: &ServerId, started_unix_ms: u64) -> bool {
        self.leaving.contains(server, started_unix_ms)
    }

    /// Returns all facts.
    pub fn all(&self, now: MonoTime) -> Vec<Fact> {
        let crashes = self.crashes.marks(now).into_iter().map(Fact::Crash);
        crashes.chain(self.leaving.marks(now).map(Fact::Leaving)).collect()
    }

    /// Returns the facts that tell something which `others` do not.
    pub fn missing_in(&self, now: MonoTime, others: &[Fact]) -> Vec<Fact> {
        let mut theirs = Self::default();
        theirs.merge(now, others);
        theirs.merge(now, &self.all(now))
    }

    /// Returns a number that is equal for equal facts, and 0 without facts.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    fn update_digest(&mut self) {
        self.digest = self.crashes.digest() ^ self.leaving.digest();
    }
}
