//! Selection of a replica for each request.

mod liveness;
mod replica;
mod route_choice;
mod route_query;

use std::collections::HashMap;

use filbertcleat_base::AdapterRef;
use filbertcleat_base::MonoTime;
use filbertcleat_base::NodeName;
use filbertcleat_base::ServiceName;
use filbertcleat_config::RoutingPolicy;
use rand::Rng;
use rand::rngs::SmallRng;

pub use self::liveness::Liveness;
use self::replica::Replica;
pub use self::route_choice::RouteChoice;
pub use self::route_query::RouteQuery;
use crate::ReplicaReport;

/// Selects replicas from reports that lag behind their actual state.
///
/// A choice by an outdated report costs a longer wait or a retry at another replica, never a wrong
/// answer.
#[derive(Debug)]
pub struct Router {
    policy: RoutingPolicy,
    replicas: Vec<Replica>,
    index_by_node: HashMap<NodeName, usize>,
    /// The indices of the replicas of each service.
    by_service: HashMap<ServiceName, Vec<usize>>,
    /// The indices of the replicas that have reported an adapter as loaded.
    by_adapter: HashMap<AdapterRef, Vec<usize>>,
    /// For each adapter, the last replica that was sent a request without holding the adapter.
    recent_sends: HashMap<AdapterRef, RecentSend>,
}

impl Router {
    /// How long an adapter counts as pending at a replica after a request for it was sent there.
    const RECENT_SEND_MS: u64 = 3000;
    /// The cost of loading a further copy of an adapter, relative to the duration of the load; a
    /// load also delays the other loads from the shared weight store.
    const LOAD_COST_WEIGHT: f64 = 1.5;
    /// An adapter may be loaded on one in this many replicas, and on at least two. Only a lightly
    /// loaded replica may take a further copy.
    const COPIES_DIVISOR: usize = 3;
    /// Costs that differ by at most this share of a load's duration count as equal.
    const TIE_SHARE: f64 = 0.3;

    /// Creates a router without replicas.
    pub fn new(policy: RoutingPolicy) -> Self {
        Self {
            policy,
            replicas: Vec::new(),
            index_by_node: HashMap::new(),
            by_service: HashMap::new(),
            by_adapter: HashMap::new(),
            recent_sends: HashMap::new(),
        }
    }

    /// Sets the routing policy.
    pub fn set_policy(&mut self, policy: RoutingPolicy) {
        self.policy = policy;
    }

    /// Replaces the state of a replica by a new report.
    pub fn apply_report(&mut self, report: ReplicaReport) {
        let index = self.index_or_insert(&report.node);
        let replica = &mut self.replicas[index];
        if replica.report.as_ref().map(|old| &old.service) != Some(&report.service) {
            for list in self.by_service.values_mut() {
                list.retain(|other| *other != index);
            }
            self.by_service.entry(report.service.clone()).or_default().push(index);
        }

        let old = replica.report.take().map(|old| old.loaded_adapters).unwrap_or_default();
        for adapter in old.iter().filter(|adapter| !report.loaded_adapters.contains(adapter)) {
            if let Some(list) = self.by_adapter.get_mut(adapter) {
                list.retain(|other| *other != index);
                if list.is_empty() {
                    self.by_adapter.remove(adapter);
                }
            }
        }
        for adapter in report.loaded_adapters.iter().filter(|adapter| !old.contains(adapter)) {
            self.by_adapter.entry(adapter.clone()).or_default().push(index);
        }
        replica.sent_since_report = 0;
        replica.report = Some(report);
    }

    /// Sets the liveness of a replica; a replica that is gone loses its report.
    pub fn set_liveness(&mut self, node: &NodeName, liveness: Liveness) {
        let index = self.index_or_insert(node);
        self.replicas[index].liveness = liveness;
        if liveness == Liveness::Gone {
            self.forget_report(index);
        }
    }

    /// Returns the liveness of a replica, or `None` if it is unknown.
    pub fn liveness(&self, node: &NodeName) -> Option<Liveness> {
        self.index_by_node.get(node).map(|index| self.replicas[*index].liveness)
    }

    /// Returns the mean call duration of a service, or `None` without a report.
    pub fn mean_call_ms(&self, service: &ServiceName) -> Option<u64> {
        let list = self.by_service.get(service)?;
        let times: Vec<_> = list
            .iter()
            .filter_map(|index| self.replicas[*index].report.as_ref())
            .map(|report| u64::from(report.mean_call_ms))
            .collect();
        (!times.is_empty()).then(|| times.iter().sum::<u64>() / times.len() as u64)
    }

    /// Selects the replica for a request under the policy, and counts the request as sent there.
    ///
    /// Returns `None` if no replica is usable.
    pub fn choose(
        &mut self,
        now: MonoTime,
        query: &RouteQuery<'_>,
        rng: &mut SmallRng,
    ) -> Option<RouteChoice> {
        let index = match self.policy {
            RoutingPolicy::Affinity => self.lowest_cost(now, query),
            RoutingPolicy::Random => self.random_replica(query, rng),
            RoutingPolicy::Rendezvous => self.home_replica(query),
        }?;

        let replica = &mut self.replicas[index];
        replica.sent_since_report += 1;
        let holds = query.adapter.is_none_or(|adapter| replica.holds(adapter));
        if let Some(adapter) = query.adapter
            && !holds
        {
            self.record_send(now, adapter, index);
        }
        Some(RouteChoice { node: self.replicas[index].node.clone(), holds_adapter: holds })
    }

    /// Returns the replica with the lowest expected delay, including the delay that a load or an
    /// eviction causes to other requests.
    fn lowest_cost(&self, now: MonoTime, query: &RouteQuery<'_>) -> Option<usize> {
        let Some(adapter) = query.adapter else {
            return self.usable_replicas(query).min_by(|left, right| {
                let cost = |index: usize| self.replicas[index].queue_wait_ms(query.class, false);
                cost(*left).total_cmp(&cost(*right))
            });
        };

        let adapter_hash = adapter.stable_hash();
        let sent = self
            .recent_sends
            .get(adapter)
            .filter(|sent| now.ms_since(sent.sent_at) < Self::RECENT_SEND_MS);
        let holders = self.by_adapter.get(adapter).map_or(&[][..], Vec::as_slice);
        let has_usable_holder = holders.iter().any(|index| self.is_usable(*index, query));

        let load_ms = self.mean_load_ms(query);

        let copy_count = holders.iter().filter(|index| self.is_usable(**index, query)).count();
        let copies_max = self.usable_replicas(query).count().div_ceil(Self::COPIES_DIVISOR).max(2);

        let mut best: Option<ScoredReplica> = None;
        for index in self.usable_replicas(query) {
            let replica = &self.replicas[index];
            let shares_backfill = copy_count > 1 && replica.holds(adapter);
            let wait_ms = replica.queue_wait_ms(query.class, shares_backfill);
            let is_recently_sent = sent.is_some_and(|sent| sent.index == index);
            let cost_ms = if replica.holds(adapter) {
                wait_ms
            } else if copy_count >= copies_max && !replica.is_lightly_loaded() {
                continue;
            } else if is_recently_sent || replica.has_pending(adapter) {
                wait_ms + load_ms
            } else {
                let load_cost_weight =
                    if has_usable_holder || sent.is_some() { Self::LOAD_COST_WEIGHT } else { 1.0 };
                wait_ms
                    + load_ms * (load_cost_weight + 1.0)
                    + replica.eviction_cost_ms(query.class, load_ms)
            };
            let scored = ScoredReplica {
                index,
                cost_ms: cost_ms + replica.liveness_cost_ms(),
                tie_margin_ms: load_ms * Self::TIE_SHARE,
                home_rank: filbertcleat_base::mix_hashes(adapter_hash, replica.node_hash),
            };
            if best.as_ref().is_none_or(|best| scored.is_better_than(best)) {
                best = Some(scored);
            }
        }
        best.map(|best| best.index)
    }

    /// Returns the mean load duration of the usable replicas. They share the weight store, so a
    /// single estimate serves for all of them.
    fn mean_load_ms(&self, query: &RouteQuery<'_>) -> f64 {
        let times = self.usable_replicas(query).map(|index| self.replicas[index].load_ms());
        let (sum, count) = times.fold((0.0, 0.0), |(sum, count), ms| (sum + ms, count + 1.0));
        if count > 0.0 { sum / count } else { 0.0 }
    }

    /// Returns a usable replica at random.
    fn random_replica(&self, query: &RouteQuery<'_>, rng: &mut SmallRng) -> Option<usize> {
        let usable: Vec<_> = self.usable_replicas(query).collect();
        (!usable.is_empty()).then(|| usable[rng.random_range(0..usable.len())])
    }

    /// Returns the first usable replica in rendezvous order.
    fn home_replica(&self, query: &RouteQuery<'_>) -> Option<usize> {
        let adapter_hash = query.adapter.map_or(0, AdapterRef::stable_hash);
        self.usable_replicas(query).max_by_key(|index| {
            filbertcleat_base::mix_hashes(adapter_hash, self.replicas[*index].node_hash)
        })
    }

    /// Returns the replicas of the service that can take the request.
    fn usable_replicas<'a>(
        &'a self,
        query: &'a RouteQuery<'_>,
    ) -> impl Iterator<Item = usize> + 'a {
        let list = self.by_service.get(query.service).map_or(&[][..], Vec::as_slice);
        list.iter().copied().filter(|index| self.is_usable(*index, query))
    }

    /// Returns whether a replica can take the request.
    fn is_usable(&self, index: usize, query: &RouteQuery<'_>) -> bool {
        let replica = &self.replicas[index];
        match replica.liveness {
            Liveness::Live | Liveness::Suspect => !query.excluded.contains(&replica.node),
            Liveness::NotReady | Liveness::Gone => false,
        }
    }

    /// Records that a request for an adapter was sent to a replica that does not hold the adapter.
    fn record_send(&mut self, now: MonoTime, adapter: &AdapterRef, index: usize) {
        const RECENT_SENDS_MAX: usize = 4096;
        if self.recent_sends.len() >= RECENT_SENDS_MAX {
            self.recent_sends.retain(|_, sent| now.ms_since(sent.sent_at) < Self::RECENT_SEND_MS);
        }
        if self.recent_sends.len() >= RECENT_SENDS_MAX {
            // All entries are recent; dropping them costs some duplicate loads.
            self.recent_sends.clear();
        }
        self.recent_sends.insert(adapter.clone(), RecentSend { index, sent_at: now });
    }

    /// Returns the index of a replica, and adds the replica if it is new.
    fn index_or_insert(&mut self, node: &NodeName) -> usize {
        if let Some(index) = self.index_by_node.get(node) {
            return *index;
        }
        let index = self.replicas.len();
        self.replicas.push(Replica::new(node.clone()));
        self.index_by_node.insert(node.clone(), index);
        index
    }

    /// Removes all reported state of a replica, so that a replacement of the same name starts
    /// afresh.
    fn forget_report(&mut self, index: usize) {
        self.replicas[index].report = None;
        for list in self.by_service.values_mut() {
            list.retain(|other| *other != index);
        }
        self.by_adapter.retain(|_, list| {
            list.retain(|other| *other != index);
            !list.is_empty()
        });
        self.recent_sends.retain(|_, sent| sent.index != index);
    }
}

/// The replica that was last sent a request for an adapter without holding the adapter.
#[derive(Clone, Copy, Debug)]
struct RecentSend {
    index: usize,
    sent_at: MonoTime,
}

/// A replica with its cost for one request.
#[derive(Clone, Copy, Debug)]
struct ScoredReplica {
    index: usize,
    cost_ms: f64,
    tie_margin_ms: f64,
    home_rank: u64,
}

impl ScoredReplica {
    /// Returns whether this replica is preferred to `other`.
    ///
    /// A tie is decided by rendezvous order, so that all entries make the same choice.
    fn is_better_than(&self, other: &Self) -> bool {
        if (self.cost_ms - other.cost_ms).abs() <= self.tie_margin_ms.min(other.tie_margin_ms) {
            return self.home_rank > other.home_rank;
        }
        self.cost_ms < other.cost_ms
    }
}
