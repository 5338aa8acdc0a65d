//! The agent's side of the load permit protocol.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::MonoTime;

use crate::LoadRequest;

/// The load permit that an agent holds and the loads it last requested.
#[derive(Clone, Debug, Default)]
pub(super) struct PermitClient {
    permit: Option<LoadPermit>,
    /// Whether a load is in progress.
    loading: bool,
    /// The adapters of the load requests sent last; empty if they have to be sent again.
    requested: Vec<AdapterRef>,
    /// When load requests were last sent.
    requested_at: MonoTime,
    /// When loads were last planned.
    planned_at: MonoTime,
    coordinator_lost_since: Option<MonoTime>,
}

impl PermitClient {
    /// The minimum interval between two load plans, which bounds their cost while the queue is
    /// long.
    const PLAN_INTERVAL_MS: u64 = 20;
    /// The interval at which unchanged load requests are sent again, since urgency grows with
    /// waiting time.
    const REQUEST_REFRESH_MS: u64 = 500;
    /// The time without a reachable coordinator after which the agent loads without a permit.
    const COORDINATOR_TIMEOUT_MS: u64 = 1000;

    /// Returns whether loads are to be planned now.
    pub fn is_plan_due(&self, now: MonoTime) -> bool {
        let has_unused_permit = self.permit.is_some() && !self.loading;
        has_unused_permit
            || self.planned_at == MonoTime::ZERO
            || now.ms_since(self.planned_at) >= Self::PLAN_INTERVAL_MS
    }

    /// Records the time of a load plan.
    pub fn record_plan(&mut self, now: MonoTime) {
        self.planned_at = now;
    }

    /// Drops load requests that are due for a refresh, so that the next plan sends them again.
    pub fn expire_requests(&mut self, now: MonoTime) {
        if now.ms_since(self.requested_at) >= Self::REQUEST_REFRESH_MS {
            self.requested.clear();
        }
    }

    /// Stores a granted permit.
    pub fn grant(&mut self, grant_id: u64, adapter: AdapterRef, expires_at: MonoTime) {
        self.coordinator_lost_since = None;
        // A coordinator grants one permit per holder at a time, so a second one comes from a newer
        // coordinator and replaces the first.
        self.permit = Some(LoadPermit { grant_id, adapter, expires_at });
        self.requested.clear();
    }

    /// Records that no coordinator can be reached.
    pub fn coordinator_lost(&mut self, now: MonoTime) {
        self.coordinator_lost_since.get_or_insert(now);
        self.requested.clear();
    }

    /// Returns the adapter to load now, if a load is allowed.
    ///
    /// The adapter that the permit was granted for has precedence while it is still requested;
    /// otherwise the most urgent request is chosen.
    pub fn choose_load(&self, now: MonoTime, requests: &[LoadRequest]) -> Option<AdapterRef> {
        if self.loading {
            return None;
        }
        let first = requests.first()?;
        match &self.permit {
            Some(permit) if permit.expires_at > now => {
                let granted = requests.iter().find(|request| request.adapter == permit.adapter);
                Some(granted.unwrap_or(first).adapter.clone())
            }
            Some(_) | None => {
                let unavailable = self
                    .coordinator_lost_since
                    .is_some_and(|since| now.ms_since(since) >= Self::COORDINATOR_TIMEOUT_MS);
                unavailable.then(|| first.adapter.clone())
            }
        }
    }

    /// Removes a permit that has expired or has no load to use it, and returns its grant id.
    pub fn take_unused_permit(&mut self, now: MonoTime, no_requests: bool) -> Option<u64> {
        if self.loading {
            return None;
        }
        let expired = self.permit.as_ref().is_some_and(|permit| permit.expires_at <= now);
        if no_requests || expired { self.permit.take().map(|permit| permit.grant_id) } else { None }
    }

    /// Records that a load is in progress.
    pub fn load_started(&mut self) {
        self.loading = true;
    }

    /// Records the end of the load and returns the grant id of the permit to release.
    pub fn finish_load(&mut self) -> Option<u64> {
        self.loading = false;
        self.requested.clear();
        self.permit.take().map(|permit| permit.grant_id)
    }

    /// Returns the load requests if they have to be sent to the coordinator.
    pub fn changed_requests(
        &mut self,
        now: MonoTime,
        requests: Vec<LoadRequest>,
    ) -> Option<Vec<LoadRequest>> {
        let requests = if self.loading { Vec::new() } else { requests };
        let is_same = requests.len() == self.requested.len()
            && requests
                .iter()
                .zip(&self.requested)
                .all(|(request, requested)| request.adapter == *requested);
        let is_recent = now.ms_since(self.requested_at) < Self::REQUEST_REFRESH_MS;
        if is_same && (is_recent || requests.is_empty()) {
            return None;
        }

        self.requested = requests.iter().map(|request| request.adapter.clone()).collect();
        self.requested_at = now;
        Some(requests)
    }
}

/// The right to load one adapter from the weight store.
#[derive(Clone, Debug)]
struct LoadPermit {
    grant_id: u64,
    adapter: AdapterRef,
    expires_at: MonoTime,
}
