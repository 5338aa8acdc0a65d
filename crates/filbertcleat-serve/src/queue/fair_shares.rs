//! Orders the requests of equal priority so that each workspace gets an equal share of engine time.

mod engine_time;
mod flow;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::binary_heap::PeekMut;

use filbertcleat_base::MonoTime;
use filbertcleat_base::ServiceName;
use filbertcleat_base::WorkspaceName;

pub use self::engine_time::EngineTime;
use self::flow::Flow;
use self::flow::FlowHead;
use crate::RequestDemand;

/// Orders the queued requests of equal priority by start-time fair queueing between workspaces.
///
/// A flow is the requests of a workspace for a service at a priority. Each has a virtual time: the
/// engine time that it was given, in milliseconds. The flow with the lowest one is next. Requests
/// without a workspace are one flow.
///
/// The virtual time of a service is that of its last flow that waits for capacity. A flow that had
/// nothing queued continues from there, so that idle time earns no credit. When no flow waits for
/// capacity, the engine time that was given cost nobody anything and is forgotten.
#[derive(Debug, Default)]
pub struct FairShares {
    ids: BTreeMap<FlowKey, FlowId>,
    flows: BTreeMap<FlowId, Flow>,
    next_id: FlowId,
    virtual_ms: VirtualTimes,
    /// The number of queued requests that have a workspace.
    workspace_requests: usize,
}

/// The numbers of the requests that their flows serve after all others, with their deadlines.
pub type LateRequests = BTreeMap<u64, MonoTime>;

/// Identifies a flow while it has queued requests or engine time to account for.
pub type FlowId = u64;

/// The virtual time of each priority and service that has flows waiting for capacity.
type VirtualTimes = BTreeMap<(u8, ServiceName), f64>;

/// What the requests of a flow have in common.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct FlowKey {
    priority: u8,
    service: ServiceName,
    workspace: Option<WorkspaceName>,
}

impl FlowKey {
    /// Returns the flows between which capacity is shared.
    fn pool(&self) -> (u8, ServiceName) {
        (self.priority, self.service.clone())
    }

    fn virtual_ms(&self, times: &VirtualTimes) -> f64 {
        times.get(&self.pool()).copied().unwrap_or(0.0)
    }
}

impl FairShares {
    /// The engine time by which a flow with nothing queued may be ahead of the others at most, unless
    /// its last request alone took longer.
    ///
    /// A flow gets ahead on engines that the others do not ask for, such as those with its adapter.
    /// It must not wait for that longer than callers do, whose latency objectives are 500 ms or more.
    const LEAD_MAX_MS: f64 = 500.0;
    /// The part of the largest flow's queued engine time from which a flow causes the wait too. With a
    /// half, requests of workspaces within their shares were given up beside hot ones.
    const CAUSE_SHARE: f64 = 0.75;

    /// Adds a request, whose number is higher than that of any before, and returns its flow.
    pub fn push(&mut self, number: u64, demand: &RequestDemand) -> FlowId {
        let key = FlowKey {
            priority: demand.priority,
            service: demand.service.clone(),
            workspace: demand.workspace.clone(),
        };
        let next_id = &mut self.next_id;
        let id = *self.ids.entry(key.clone()).or_insert_with(|| {
            *next_id += 1;
            *next_id
        });
        let virtual_ms = key.virtual_ms(&self.virtual_ms);
        let flow = self.flows.entry(id).or_insert_with(|| Flow::new(key));
        if flow.queued.is_empty() {
            let lead_max_ms = Self::LEAD_MAX_MS.max(flow.last_ms);
            flow.used_ms = flow.used_ms.min(virtual_ms + lead_max_ms);
        }
        flow.queued.insert(number, (demand.prompt_tokens, demand.output_tokens_max));
        self.workspace_requests += usize::from(demand.workspace.is_some());
        id
    }

    /// Removes a request that was given up. Its workspace is not charged for it.
    pub fn remove(&mut self, id: FlowId, number: u64) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        if flow.queued.remove(&number).is_none() {
            return;
        }
        self.workspace_requests -= usize::from(flow.key.workspace.is_some());
        if flow.is_settled(&self.virtual_ms) {
            self.ids.remove(&flow.key);
            self.flows.remove(&id);
        }
    }

    /// Removes a request that is sent to an engine, and charges its workspace for the engine time.
    pub fn on_sent(&mut self, id: FlowId, number: u64, time: EngineTime) {
        if let Some(flow) = self.flows.get_mut(&id)
            && let Some((prompt_tokens, output_tokens)) = flow.queued.get(&number)
        {
            let start_ms = flow.key.virtual_ms(&self.virtual_ms);
            flow.last_ms = time.of(*prompt_tokens, *output_tokens);
            flow.used_ms = flow.used_ms.max(start_ms) + flow.last_ms;
        }
        self.remove(id, number);
    }

    /// Returns the numbers of all requests in the order in which they should be served, with their
    /// priorities, or `None` if no request has a workspace: that is the order of priority and
    /// arrival. Each flow serves those in `late` last, the earliest deadline first.
    pub fn order(
        &self,
        engine_time: impl Fn(&ServiceName) -> EngineTime,
        late: &LateRequests,
    ) -> Option<Vec<(u8, u64)>> {
        if self.workspace_requests == 0 {
            return None;
        }
        let mut heads = BinaryHeap::new();
        for flow in self.flows.values() {
            let virtual_ms = flow.key.virtual_ms(&self.virtual_ms);
            let time = engine_time(&flow.key.service);
            heads.extend(FlowHead::first(flow, virtual_ms, time, late).map(Reverse));
        }
        let mut order = Vec::new();
        while let Some(mut head) = heads.peek_mut() {
            order.push((head.0.priority, head.0.number));
            if !head.0.advance() {
                PeekMut::pop(head);
            }
        }
        Some(order)
    }

    /// Returns the flows whose queued requests take at least a part of the engine time that those of the
    /// largest flow of their service and priority take.
    ///
    /// A smaller flow is not the reason for the wait. It serves its requests in the order of arrival,
    /// because a workspace within its share would otherwise lose its late ones to those that follow.
    pub fn causes_of_wait(
        &self,
        engine_time: impl Fn(&ServiceName) -> EngineTime,
    ) -> BTreeSet<FlowId> {
        let mut largest_ms: BTreeMap<(u8, ServiceName), f64> = BTreeMap::new();
        let mut queued = Vec::new();
        for (id, flow) in &self.flows {
            let queued_ms = flow.queued_ms(engine_time(&flow.key.service));
            let pool_ms = largest_ms.entry(flow.key.pool()).or_default();
            *pool_ms = pool_ms.max(queued_ms);
            queued.push((*id, flow.key.pool(), queued_ms));
        }
        let is_cause = |pool: &(u8, ServiceName), queued_ms: f64| {
            queued_ms >= largest_ms.get(pool).copied().unwrap_or(0.0) * Self::CAUSE_SHARE
        };
        let causes = queued.into_iter().filter(|(_, pool, queued_ms)| is_cause(pool, *queued_ms));
        causes.map(|(id, ..)| id).collect()
    }

    /// Returns the priority and the number of the first request of each flow.
    pub fn first_requests(&self) -> impl Iterator<Item = (u8, u64)> {
        let first = |flow: &Flow| Some((flow.key.priority, *flow.queued.first_key_value()?.0));
        self.flows.values().filter_map(first)
    }

    /// Advances the virtual times after a pass over the queue, in which requests of the given flows
    /// found no capacity.
    pub fn on_pass(&mut self, waiting: impl IntoIterator<Item = FlowId>) {
        let mut waiting: Vec<_> = waiting.into_iter().collect();
        waiting.sort_unstable();
        waiting.dedup();
        let mut advanced = VirtualTimes::new();
        for id in waiting {
            let Some(flow) = self.flows.get(&id) else { continue };
            let before_ms = flow.key.virtual_ms(&self.virtual_ms);
            let used_ms = flow.used_ms.max(before_ms);
            let lowest_ms = advanced.entry(flow.key.pool()).or_insert(used_ms);
            *lowest_ms = lowest_ms.min(used_ms);
        }
        self.virtual_ms = advanced;
        for flow in self.flows.values_mut() {
            if !self.virtual_ms.contains_key(&flow.key.pool()) {
                flow.used_ms = 0.0;
            }
        }
        let virtual_times = &self.virtual_ms;
        self.flows.retain(|_, flow| !flow.is_settled(virtual_times));
        let flows = &self.flows;
        self.ids.retain(|_, id| flows.contains_key(id));
    }
}
