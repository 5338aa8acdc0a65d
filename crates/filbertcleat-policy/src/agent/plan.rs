//! The agent's side of load turns.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::MonoTime;

use crate::LoadRequest;

/// The turn that an agent holds and what it last asked for.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadPlan {
    turn: Option<Turn>,
    loading: bool,
    asked: Vec<AdapterRef>,
    asked_at: MonoTime,
    planned_at: MonoTime,
    alone_since: Option<MonoTime>,
}

impl LoadPlan {
    /// The least time between two plans while the queue is long.
    const PLAN_EVERY_MS: u64 = 20;
    /// How often urgencies are sent again, since they change with age.
    const REFRESH_MS: u64 = 500;
    /// How long an agent without a keeper waits before it loads without a turn.
    const ALONE_MS: u64 = 1000;

    /// Returns whether a plan is due.
    pub fn is_due(&self, now: MonoTime) -> bool {
        let granted = self.turn.is_some() && !self.loading;
        granted
            || self.planned_at == MonoTime::ZERO
            || now.ms_since(self.planned_at) >= Self::PLAN_EVERY_MS
    }

    pub fn planned(&mut self, now: MonoTime) {
        self.planned_at = now;
    }

    /// Forgets what was asked once it is old, so that the next plan asks again.
    pub fn retry_wants(&mut self, now: MonoTime) {
        if now.ms_since(self.asked_at) >= Self::REFRESH_MS {
            self.asked.clear();
        }
    }

    pub fn granted(&mut self, grant: u64, adapter: AdapterRef, until: MonoTime) {
        self.alone_since = None;
        // A keeper gives no second turn to a holder, so another turn comes from a newer keeper.
        self.turn = Some(Turn { grant, adapter, until });
        self.asked.clear();
    }

    pub fn keeper_lost(&mut self, now: MonoTime) {
        self.alone_since.get_or_insert(now);
        self.asked.clear();
    }

    /// Chooses the adapter to load now: the one the turn was given for, if it is still wanted.
    pub fn pick(&self, now: MonoTime, wants: &[LoadRequest]) -> Option<AdapterRef> {
        if self.loading {
            return None;
        }
        let first = wants.first()?;
        match &self.turn {
            Some(turn) if turn.until > now => {
                let given = wants.iter().find(|want| want.adapter == turn.adapter);
                Some(given.unwrap_or(first).adapter.clone())
            }
            Some(_) | None => {
                let alone =
                    self.alone_since.is_some_and(|since| now.ms_since(since) >= Self::ALONE_MS);
                alone.then(|| first.adapter.clone())
            }
        }
    }

    /// Takes back a turn that can't be used.
    pub fn unused(&mut self, now: MonoTime, nothing_wanted: bool) -> Option<u64> {
        if self.loading {
            return None;
        }
        let expired = self.turn.as_ref().is_some_and(|turn| turn.until <= now);
        if nothing_wanted || expired { self.turn.take().map(|turn| turn.grant) } else { None }
    }

    pub fn started(&mut self) {
        self.loading = true;
    }

    /// Ends the load, and returns the turn to give back.
    pub fn finish(&mut self) -> Option<u64> {
        self.loading = false;
        self.asked.clear();
        self.turn.take().map(|turn| turn.grant)
    }

    /// Returns the wants if the keeper has to hear of them.
    pub fn changed(&mut self, now: MonoTime, wants: Vec<LoadRequest>) -> Option<Vec<LoadRequest>> {
        let wants = if self.loading { Vec::new() } else { wants };
        let same = wants.len() == self.asked.len()
            && wants.iter().zip(&self.asked).all(|(want, asked)| want.adapter == *asked);
        let fresh = now.ms_since(self.asked_at) < Self::REFRESH_MS;
        if same && (fresh || wants.is_empty()) {
            return None;
        }

        self.asked = wants.iter().map(|want| want.adapter.clone()).collect();
        self.asked_at = now;
        Some(wants)
    }
}

/// A turn at the weight store.
#[derive(Clone, Debug)]
struct Turn {
    grant: u64,
    adapter: AdapterRef,
    until: MonoTime,
}
