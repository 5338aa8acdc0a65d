//! The agent's loads.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::Class;
use filbertcleat_base::MonoTime;
use filbertcleat_config::QueuePolicy;

use super::Agent;
use super::AgentAction;
use super::LoadCandidate;
use crate::RefuseReason;
use crate::Target;

impl Agent {
    pub(super) fn loaded(&mut self, now: MonoTime, adapter: &AdapterRef) {
        if let Some(since) = self.slots.loaded(adapter, now) {
            self.load_ms.add(now.ms_since(since) as f64);
        }
        self.failures.clear(adapter);
        self.give_back_turn();
    }

    pub(super) fn load_failed(&mut self, now: MonoTime, adapter: &AdapterRef, certain: bool) {
        self.slots.load_failed(adapter, certain);
        self.give_back_turn();
        if !certain {
            self.actions.push(AgentAction::ListAdapters);
        }
        if self.failures.add(now, adapter) {
            for waiting in self.queue.drain(&Target::Adapter(adapter.clone())) {
                self.refuse(waiting.offer.attempt, RefuseReason::LoadFailed);
            }
        }
    }

    pub(super) fn give_back_turn(&mut self) {
        if let Some(grant) = self.load.finish() {
            self.actions.push(AgentAction::ReleasePermit { grant_id: grant });
        }
    }

    /// Decides which adapter to load into which slot, and what to ask of the keeper.
    pub(super) fn plan_loads(&mut self, now: MonoTime) {
        if self.settings.slot_limit == 0 || self.leaving {
            return;
        }
        let may_order = self.ownership.may_send_orders(self.settings.checks_fence);
        let idle = self.settings.batch_limit.saturating_sub(self.calls.len()) as f64;
        let fill = 1.0 + 2.0 * self.weights.batch_share() * idle / self.settings.batch_limit as f64;

        if !may_order || !self.load.is_due(now) {
            self.load.retry_wants(now);
            return;
        }
        self.load.planned(now);
        let mut candidates = self.queue.candidates(now, self.policy.queue, fill, |adapter| {
            !self.slots.holds_or_loads(adapter) && !self.failures.waits(now, adapter)
        });
        if self.policy.queue == QueuePolicy::Grouped {
            self.keep_useful(&mut candidates);
        }

        self.slots.close_for(&candidates, &self.queue, self.policy.eviction, now, &self.popularity);
        let spare = self.spare_rates(now);
        let wants: Vec<_> = candidates
            .iter()
            .zip(&spare)
            .map(|(group, per_s)| group.want.clone().discounted_for_eviction(*per_s))
            .collect();

        if let Some(adapter) = self.load.pick(now, &wants) {
            self.start_load(now, &adapter);
        } else if let Some(grant) = self.load.unused(now, wants.is_empty()) {
            self.actions.push(AgentAction::ReleasePermit { grant_id: grant });
        }
        if let Some(wants) = self.load.changed(now, wants) {
            self.actions.push(AgentAction::RequestLoads { requests: wants });
        }
    }

    /// Returns the requests a second for the adapter in each spare slot, the least first.
    pub(super) fn spare_rates(&self, now: MonoTime) -> Vec<f64> {
        let spare = self.slots.spare(&self.queue).into_iter();
        let mut rates: Vec<_> =
            spare.map(|index| self.slots.value(index, now, &self.popularity)).collect();
        rates.sort_by(f64::total_cmp);
        rates
    }

    /// Drops loads whose requests could not be called soon, since others go before them.
    pub(super) fn keep_useful(&self, candidates: &mut Vec<LoadCandidate>) {
        let room = self.settings.batch_limit.saturating_sub(self.calls.len() - self.filling);
        if self.slots.startable(&self.queue) < room + Self::CALLS_AHEAD {
            return;
        }
        let first = Class::ALL.map(|class| self.slots.first_startable(&self.queue, class, true));
        let first = first.into_iter().flatten().min();
        candidates.retain(|candidate| first.as_ref().is_none_or(|first| candidate.place < *first));
    }

    pub(super) fn start_load(&mut self, now: MonoTime, adapter: &AdapterRef) {
        let Some(index) =
            self.slots.victim(&self.queue, self.policy.eviction, now, &self.popularity)
        else {
            self.give_back_turn();
            return;
        };
        let since = self.queue.oldest(adapter).unwrap_or(now);
        let evict = self.slots.start_load(index, adapter.clone(), since);
        self.load.started();
        self.actions.push(AgentAction::Load {
            adapter: adapter.clone(),
            evict,
            fence: self.ownership.fence(),
        });
    }
}
