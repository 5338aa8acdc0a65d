//! The choice of a backend server.

mod choice;
mod liveness;
mod replica;
mod search;

use std::collections::HashMap;

use filbertcleat_base::AdapterRef;
use filbertcleat_base::MonoTime;
use filbertcleat_base::NodeName;
use filbertcleat_base::ServiceName;
use filbertcleat_config::RoutingPolicy;
use rand::Rng;
use rand::rngs::SmallRng;

pub use self::choice::RouteChoice;
pub use self::liveness::Liveness;
use self::replica::Replica;
pub use self::search::RouteQuery;
use crate::ReplicaReport;

/// Chooses backend servers by a view that lags behind them.
///
/// A wrong guess costs a longer wait or a redirect, never a wrong answer.
#[derive(Debug)]
pub struct Router {
    policy: RoutingPolicy,
    replicas: Vec<Replica>,
    index: HashMap<NodeName, usize>,
    services: HashMap<ServiceName, Vec<usize>>,
    holders: HashMap<AdapterRef, Vec<usize>>,
    sent: HashMap<AdapterRef, Sent>,
}

impl Router {
    /// How long an adapter counts as wanted at a replica that it was just sent to.
    const SENT_MS: u64 = 3000;
    /// How much more a load costs than the wait that it causes, since the weight store is shared.
    const LOAD_WEIGHT: f64 = 1.5;
    /// One adapter may be held by one in so many replicas, unless another one is quiet.
    const COPIES_DIVISOR: usize = 3;
    /// Costs that differ by less than this share of a load count as equal.
    const TIE_SHARE: f64 = 0.3;

    /// Creates a router that knows no replicas.
    pub fn new(policy: RoutingPolicy) -> Self {
        Self {
            policy,
            replicas: Vec::new(),
            index: HashMap::new(),
            services: HashMap::new(),
            holders: HashMap::new(),
            sent: HashMap::new(),
        }
    }

    /// Changes the policy.
    pub fn set_policy(&mut self, policy: RoutingPolicy) {
        self.policy = policy;
    }

    /// Takes in what an agent reports.
    pub fn apply_report(&mut self, report: ReplicaReport) {
        let index = self.index_of(&report.node);
        let replica = &mut self.replicas[index];
        if replica.report.as_ref().map(|old| &old.service) != Some(&report.service) {
            for list in self.services.values_mut() {
                list.retain(|other| *other != index);
            }
            self.services.entry(report.service.clone()).or_default().push(index);
        }

        let old = replica.report.take().map(|old| old.loaded_adapters).unwrap_or_default();
        for adapter in old.iter().filter(|adapter| !report.loaded_adapters.contains(adapter)) {
            if let Some(list) = self.holders.get_mut(adapter) {
                list.retain(|other| *other != index);
                if list.is_empty() {
                    self.holders.remove(adapter);
                }
            }
        }
        for adapter in report.loaded_adapters.iter().filter(|adapter| !old.contains(adapter)) {
            self.holders.entry(adapter.clone()).or_default().push(index);
        }
        replica.sent_since_report = 0;
        replica.report = Some(report);
    }

    /// Takes in whether a replica can be used.
    pub fn set_liveness(&mut self, node: &NodeName, liveness: Liveness) {
        let index = self.index_of(node);
        self.replicas[index].liveness = liveness;
        if liveness == Liveness::Gone {
            self.forget(index);
        }
    }

    /// Returns whether a replica can be used.
    pub fn liveness(&self, node: &NodeName) -> Option<Liveness> {
        self.index.get(node).map(|index| self.replicas[*index].liveness)
    }

    /// Returns how long a call to a service lasts on average.
    pub fn mean_call_ms(&self, service: &ServiceName) -> Option<u64> {
        let list = self.services.get(service)?;
        let times: Vec<_> = list
            .iter()
            .filter_map(|index| self.replicas[*index].report.as_ref())
            .map(|report| u64::from(report.mean_call_ms))
            .collect();
        (!times.is_empty()).then(|| times.iter().sum::<u64>() / times.len() as u64)
    }

    /// Chooses the replica for a request, and counts the request as sent there.
    pub fn choose(
        &mut self,
        now: MonoTime,
        search: &RouteQuery<'_>,
        rng: &mut SmallRng,
    ) -> Option<RouteChoice> {
        let index = match self.policy {
            RoutingPolicy::Affinity => self.cheapest(now, search),
            RoutingPolicy::Random => self.random(search, rng),
            RoutingPolicy::Rendezvous => self.home(search),
        }?;

        let replica = &mut self.replicas[index];
        replica.sent_since_report += 1;
        let holds = search.adapter.is_none_or(|adapter| replica.holds(adapter));
        if let Some(adapter) = search.adapter
            && !holds
        {
            self.remember(now, adapter, index);
        }
        Some(RouteChoice { node: self.replicas[index].node.clone(), holds_adapter: holds })
    }

    fn cheapest(&self, now: MonoTime, search: &RouteQuery<'_>) -> Option<usize> {
        let Some(adapter) = search.adapter else {
            return self.usable(search).min_by(|left, right| {
                let cost = |index: usize| self.replicas[index].wait_ms(search.class, false);
                cost(*left).total_cmp(&cost(*right))
            });
        };

        let key = adapter.stable_hash();
        let sent = self.sent.get(adapter).filter(|sent| now.ms_since(sent.at) < Self::SENT_MS);
        let holders = self.holders.get(adapter).map_or(&[][..], Vec::as_slice);
        let held = holders.iter().any(|index| self.is_usable(*index, search));

        let load_ms = self.load_ms(search);

        let copies = holders.iter().filter(|index| self.is_usable(**index, search)).count();
        let at_most = self.usable(search).count().div_ceil(Self::COPIES_DIVISOR).max(2);

        let mut best: Option<Scored> = None;
        for index in self.usable(search) {
            let replica = &self.replicas[index];
            let shares_gaps = copies > 1 && replica.holds(adapter);
            let wait_ms = replica.wait_ms(search.class, shares_gaps);
            let is_sent = sent.is_some_and(|sent| sent.index == index);
            let cost_ms = if replica.holds(adapter) {
                wait_ms
            } else if copies >= at_most && !replica.is_quiet() {
                continue;
            } else if is_sent || replica.wants(adapter) {
                wait_ms + load_ms
            } else {
                let weight = if held || sent.is_some() { Self::LOAD_WEIGHT } else { 1.0 };
                wait_ms + load_ms * (weight + 1.0) + replica.slot_cost_ms(search.class, load_ms)
            };
            let scored = Scored {
                index,
                cost_ms: cost_ms + replica.liveness_cost_ms(),
                tie_ms: load_ms * Self::TIE_SHARE,
                home: filbertcleat_base::mix_hashes(key, replica.hash),
            };
            if best.as_ref().is_none_or(|best| scored.beats(best)) {
                best = Some(scored);
            }
        }
        best.map(|best| best.index)
    }

    /// Returns how long a load takes on average; the store is shared, so it is alike for all.
    fn load_ms(&self, search: &RouteQuery<'_>) -> f64 {
        let times = self.usable(search).map(|index| self.replicas[index].load_ms());
        let (sum, count) = times.fold((0.0, 0.0), |(sum, count), ms| (sum + ms, count + 1.0));
        if count > 0.0 { sum / count } else { 0.0 }
    }

    fn random(&self, search: &RouteQuery<'_>, rng: &mut SmallRng) -> Option<usize> {
        let usable: Vec<_> = self.usable(search).collect();
        (!usable.is_empty()).then(|| usable[rng.random_range(0..usable.len())])
    }

    fn home(&self, search: &RouteQuery<'_>) -> Option<usize> {
        let key = search.adapter.map_or(0, AdapterRef::stable_hash);
        self.usable(search)
            .max_by_key(|index| filbertcleat_base::mix_hashes(key, self.replicas[*index].hash))
    }

    fn usable<'a>(&'a self, search: &'a RouteQuery<'_>) -> impl Iterator<Item = usize> + 'a {
        let list = self.services.get(search.service).map_or(&[][..], Vec::as_slice);
        list.iter().copied().filter(|index| self.is_usable(*index, search))
    }

    fn is_usable(&self, index: usize, search: &RouteQuery<'_>) -> bool {
        let replica = &self.replicas[index];
        match replica.liveness {
            Liveness::Live | Liveness::Suspect => !search.excluded.contains(&replica.node),
            Liveness::NotReady | Liveness::Gone => false,
        }
    }

    fn remember(&mut self, now: MonoTime, adapter: &AdapterRef, index: usize) {
        const SENT_MAX: usize = 4096;
        if self.sent.len() >= SENT_MAX {
            self.sent.retain(|_, sent| now.ms_since(sent.at) < Self::SENT_MS);
        }
        if self.sent.len() >= SENT_MAX {
            // All are fresh; forgetting them costs a few loads made twice.
            self.sent.clear();
        }
        self.sent.insert(adapter.clone(), Sent { index, at: now });
    }

    fn index_of(&mut self, node: &NodeName) -> usize {
        if let Some(index) = self.index.get(node) {
            return *index;
        }
        let index = self.replicas.len();
        self.replicas.push(Replica::new(node.clone()));
        self.index.insert(node.clone(), index);
        index
    }

    /// Drops what a replica reported, so that a replacement starts from nothing.
    fn forget(&mut self, index: usize) {
        self.replicas[index].report = None;
        for list in self.services.values_mut() {
            list.retain(|other| *other != index);
        }
        self.holders.retain(|_, list| {
            list.retain(|other| *other != index);
            !list.is_empty()
        });
        self.sent.retain(|_, sent| sent.index != index);
    }
}

/// Where an adapter was last sent that no replica held.
#[derive(Clone, Copy, Debug)]
struct Sent {
    index: usize,
    at: MonoTime,
}

/// A replica with its cost for one request.
#[derive(Clone, Copy, Debug)]
struct Scored {
    index: usize,
    cost_ms: f64,
    tie_ms: f64,
    home: u64,
}

impl Scored {
    /// Returns whether this one is better; among equals the rendezvous home decides, so that all
    /// entries choose alike.
    fn beats(&self, other: &Self) -> bool {
        if (self.cost_ms - other.cost_ms).abs() <= self.tie_ms.min(other.tie_ms) {
            return self.home > other.home;
        }
        self.cost_ms < other.cost_ms
    }
}
