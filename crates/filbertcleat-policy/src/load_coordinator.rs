//! Coordination of adapter loads from a shared weight store.

mod load_grant;
mod load_request;

use std::collections::BTreeMap;

use filbertcleat_base::AdapterRef;
use filbertcleat_base::Class;
use filbertcleat_base::MonoTime;
use filbertcleat_base::NodeName;
use filbertcleat_config::LoadPermitPolicy;

pub use self::load_grant::LoadGrant;
pub use self::load_request::LoadRequest;

/// Grants the load permit of one weight store to one agent at a time.
///
/// The state is not persisted: losing a coordinator, or running two at once, only slows loads down.
#[derive(Clone, Debug)]
pub struct LoadCoordinator {
    policy: LoadPermitPolicy,
    hold_ms: u64,
    pending_loads: BTreeMap<NodeName, Vec<PendingLoad>>,
    /// The permit in use.
    issued: Option<IssuedPermit>,
    last_grant_id: u64,
    /// The number of permits in a row that went to key-account loads while routine loads were
    /// pending.
    key_account_streak: u32,
}

impl LoadCoordinator {
    /// The number of permits in a row that may go to key-account loads while routine loads are
    /// pending.
    const KEY_ACCOUNT_STREAK_MAX: u32 = 3;

    /// Creates a coordinator whose permits expire after `hold_ms`.
    ///
    /// Grant ids count up from `first_grant_id`. Coordinators have to use disjoint ranges, so that
    /// a permit granted by one is never released at another.
    pub fn new(policy: LoadPermitPolicy, hold_ms: u64, first_grant_id: u64) -> Self {
        Self {
            policy,
            hold_ms,
            pending_loads: BTreeMap::new(),
            issued: None,
            last_grant_id: first_grant_id,
            key_account_streak: 0,
        }
    }

    /// Sets the policy that orders the pending loads.
    pub fn set_policy(&mut self, policy: LoadPermitPolicy) {
        self.policy = policy;
    }

    /// Replaces the pending loads of an agent; a load that was pending before keeps the time of its
    /// first request.
    pub fn set_requests(&mut self, now: MonoTime, node: &NodeName, requests: Vec<LoadRequest>) {
        let previous = self.pending_loads.remove(node).unwrap_or_default();
        if requests.is_empty() {
            return;
        }

        let pending_loads = requests
            .into_iter()
            .map(|request| {
                let earlier =
                    previous.iter().find(|pending| pending.request.adapter == request.adapter);
                let requested_since = earlier.map_or(now, |pending| pending.requested_since);
                PendingLoad { request, requested_since, updated_at: now }
            })
            .collect();
        self.pending_loads.insert(node.clone(), pending_loads);
    }

    /// Releases a permit; an id that is not the current one is ignored.
    pub fn release(&mut self, grant_id: u64) {
        if self.issued.as_ref().is_some_and(|permit| permit.grant_id == grant_id) {
            self.issued = None;
        }
    }

    /// Removes the pending loads of an agent and releases its permit.
    pub fn remove_agent(&mut self, node: &NodeName) {
        self.pending_loads.remove(node);
        if self.issued.as_ref().is_some_and(|permit| permit.node == *node) {
            self.issued = None;
        }
    }

    /// Grants the permit to the next pending load, unless a permit is in use.
    pub fn grant_next(&mut self, now: MonoTime) -> Option<LoadGrant> {
        if self.issued.as_ref().is_some_and(|permit| permit.expires_at > now) {
            return None;
        }
        self.issued = None;

        let (node, adapter) = self.next_load(now)?;
        self.last_grant_id += 1;
        let expires_at = now.plus_ms(self.hold_ms);
        self.issued =
            Some(IssuedPermit { grant_id: self.last_grant_id, node: node.clone(), expires_at });
        self.remove_load(&node, &adapter);

        Some(LoadGrant { id: self.last_grant_id, node, adapter, hold_ms: self.hold_ms })
    }

    /// Returns the next load under the policy.
    fn next_load(&mut self, now: MonoTime) -> Option<(NodeName, AdapterRef)> {
        match self.policy {
            LoadPermitPolicy::Urgency => {
                let key_account = self.most_urgent(now, Class::KeyAccount);
                let routine = self.most_urgent(now, Class::Routine);
                let is_routine_ahead = self.key_account_streak >= Self::KEY_ACCOUNT_STREAK_MAX;
                if key_account.is_some() && routine.is_some() && !is_routine_ahead {
                    self.key_account_streak += 1;
                    return key_account;
                }
                self.key_account_streak = 0;
                routine.or(key_account)
            }
            LoadPermitPolicy::Fifo => self
                .all_loads()
                .min_by_key(|(_, pending)| pending.requested_since)
                .map(node_and_adapter),
        }
    }

    /// Returns the most urgent load of a class; of two equally urgent loads, the one requested
    /// first.
    fn most_urgent(&self, now: MonoTime, class: Class) -> Option<(NodeName, AdapterRef)> {
        let loads = self.all_loads().filter(|(_, pending)| pending.request.class == class);
        let most_urgent = loads.max_by(|(_, left), (_, right)| {
            left.urgency(now)
                .total_cmp(&right.urgency(now))
                .then(right.requested_since.cmp(&left.requested_since))
        });
        most_urgent.map(node_and_adapter)
    }

    /// Returns all pending loads with their agents.
    fn all_loads(&self) -> impl Iterator<Item = (&NodeName, &PendingLoad)> {
        self.pending_loads
            .iter()
            .flat_map(|(node, list)| list.iter().map(move |pending| (node, pending)))
    }

    /// Removes a pending load.
    fn remove_load(&mut self, node: &NodeName, adapter: &AdapterRef) {
        if let Some(list) = self.pending_loads.get_mut(node) {
            list.retain(|pending| pending.request.adapter != *adapter);
            if list.is_empty() {
                self.pending_loads.remove(node);
            }
        }
    }
}

fn node_and_adapter((node, pending): (&NodeName, &PendingLoad)) -> (NodeName, AdapterRef) {
    (node.clone(), pending.request.adapter.clone())
}

/// A requested load with the times of its first and last request.
#[derive(Clone, Debug)]
struct PendingLoad {
    request: LoadRequest,
    requested_since: MonoTime,
    updated_at: MonoTime,
}

impl PendingLoad {
    /// Returns the urgency extrapolated to `now`.
    fn urgency(&self, now: MonoTime) -> f64 {
        self.request.urgency
            + self.request.urgency_growth_per_s * now.since(self.updated_at).as_secs_f64()
    }
}

/// The permit that is currently granted.
#[derive(Clone, Debug)]
struct IssuedPermit {
    grant_id: u64,
    node: NodeName,
    expires_at: MonoTime,
}
