//! Planning, start and completion of adapter loads.

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
    /// Records a successful load and releases the permit it used.
    pub(super) fn load_finished(&mut self, now: MonoTime, adapter: &AdapterRef) {
        if let Some(waiting_since) = self.slots.finish_load(adapter, now) {
            self.mean_load_ms.record(now.ms_since(waiting_since) as f64);
        }
        self.load_failures.clear(adapter);
        self.release_permit();
    }

    /// Records a failed load, and refuses the waiting requests once the adapter is given up.
    pub(super) fn load_failed(&mut self, now: MonoTime, adapter: &AdapterRef, known_absent: bool) {
        self.slots.fail_load(adapter, known_absent);
        self.release_permit();
        if !known_absent {
            self.actions.push(AgentAction::ListAdapters);
        }
        if self.load_failures.record(now, adapter) {
            for queued in self.queue.drain_target(&Target::Adapter(adapter.clone())) {
                self.refuse(queued.request.attempt, RefuseReason::LoadFailed);
            }
        }
    }

    /// Ends the current load and releases its permit, if it had one.
    pub(super) fn release_permit(&mut self) {
        if let Some(grant_id) = self.permit_client.finish_load() {
            self.actions.push(AgentAction::ReleasePermit { grant_id });
        }
    }

    /// Starts the next load if one is permitted, and updates the load requests at the coordinator.
    pub(super) fn plan_loads(&mut self, now: MonoTime) {
        if self.settings.slot_limit == 0 || self.draining {
            return;
        }
        let may_send_orders = self.ownership.may_send_orders(self.settings.checks_fence);
        // Unused batch capacity raises the urgency of this engine's loads, by the weight that the
        // configuration gives to batch efficiency.
        let idle_calls = self.settings.batch_limit.saturating_sub(self.calls.len()) as f64;
        let urgency_factor =
            1.0 + 2.0 * self.weights.batch_share() * idle_calls / self.settings.batch_limit as f64;

        if !may_send_orders || !self.permit_client.is_plan_due(now) {
            self.permit_client.expire_requests(now);
            return;
        }
        self.permit_client.record_plan(now);
        let mut candidates =
            self.queue.load_candidates(now, self.policy.queue, urgency_factor, |adapter| {
                !self.slots.is_loaded_or_loading(adapter)
                    && !self.load_failures.is_backing_off(now, adapter)
            });
        if self.policy.queue == QueuePolicy::Grouped {
            self.drop_useless_loads(&mut candidates);
        }

        self.slots.reserve_slot(
            &candidates,
            &self.queue,
            self.policy.eviction,
            now,
            &self.popularity,
        );
        let spare_rates = self.spare_slot_rates(now);
        let requests: Vec<_> = candidates
            .iter()
            .zip(&spare_rates)
            .map(|(candidate, per_s)| candidate.request.clone().discounted_for_eviction(*per_s))
            .collect();

        if let Some(adapter) = self.permit_client.choose_load(now, &requests) {
            self.start_load(now, &adapter);
        } else if let Some(grant_id) =
            self.permit_client.take_unused_permit(now, requests.is_empty())
        {
            self.actions.push(AgentAction::ReleasePermit { grant_id });
        }
        if let Some(requests) = self.permit_client.changed_requests(now, requests) {
            self.actions.push(AgentAction::RequestLoads { requests });
        }
    }

    /// Returns the request rate per second of the adapter in each spare slot, in ascending order.
    pub(super) fn spare_slot_rates(&self, now: MonoTime) -> Vec<f64> {
        let spare = self.slots.spare_slots(&self.queue).into_iter();
        let mut rates: Vec<_> =
            spare.map(|index| self.slots.rate_per_s(index, now, &self.popularity)).collect();
        rates.sort_by(f64::total_cmp);
        rates
    }

    /// Removes the loads whose requests could not start soon, because enough startable requests
    /// precede them in the queue.
    pub(super) fn drop_useless_loads(&self, candidates: &mut Vec<LoadCandidate>) {
        let free_calls =
            self.settings.batch_limit.saturating_sub(self.calls.len() - self.backfill_calls);
        if self.slots.startable_count(&self.queue) < free_calls + Self::READY_BACKLOG_MIN {
            return;
        }
        let first = Class::ALL.map(|class| self.slots.first_startable(&self.queue, class, true));
        let first = first.into_iter().flatten().min();
        candidates
            .retain(|candidate| first.as_ref().is_none_or(|first| candidate.position < *first));
    }

    /// Starts a load into a spare slot, or releases the permit if no slot is spare.
    pub(super) fn start_load(&mut self, now: MonoTime, adapter: &AdapterRef) {
        let Some(index) =
            self.slots.choose_slot(&self.queue, self.policy.eviction, now, &self.popularity)
        else {
            self.release_permit();
            return;
        };
        let waiting_since = self.queue.oldest_arrival(adapter).unwrap_or(now);
        let evict = self.slots.start_load(index, adapter.clone(), waiting_since);
        self.permit_client.load_started();
        self.actions.push(AgentAction::Load {
            adapter: adapter.clone(),
            evict,
            fence: self.ownership.fence(),
        });
    }
}
