//! Selects the backend server of a request.

use filbertcleat_base::FailureDomain;
use filbertcleat_base::MonoTime;
use filbertcleat_base::mix_hashes;
use filbertcleat_base::stable_hash;

use crate::EngineSpec;
use crate::Fleet;
use crate::RequestDemand;
use crate::Server;
use crate::ServerId;

/// The decision on a request in one pass over the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Placement {
    /// Send the request to this backend server.
    Send(ServerId),
    /// Wait until this backend server has loaded the adapter.
    AwaitLoad(ServerId),
    /// Wait until a backend server has free capacity: the given one, or any if none is given.
    AwaitCapacity(Option<ServerId>),
    /// No backend server has loaded the request's model.
    NoEngine,
}

/// The cost of sending a request to another failure domain, as an equivalent delay. It includes the
/// price of traffic between domains.
const CROSS_DOMAIN_COST_MS: f64 = 15.0;
/// An adapter is loaded by the first engine in its rendezvous order whose request load is at most
/// the mean load times this factor plus [`LOAD_BOUND_OFFSET`].
///
/// The bound keeps an adapter on its home engine as long as that engine is not overloaded. The
/// weight store serves only a few loads at once over all engines, and an engine that had the
/// adapter before does not need the store to load it again.
const LOAD_BOUND_FACTOR: f64 = 1.3;
/// The number of requests that the load bound adds to the scaled mean.
const LOAD_BOUND_OFFSET: f64 = 4.0;
/// The cost of one request in the batch to the other requests, through longer decoding steps.
const RUNNING_REQUEST_COST_MS: f64 = 1.0;
/// The cost of a server that fails every request. Lower failure rates cost proportionally less.
const FAILURE_COST_MS: f64 = 3_000.0;

/// The state of a waiting request that affects its placement.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueueWait<'a> {
    /// The time since the request was queued.
    pub waited_ms: u64,
    /// The number of requests that wait for the same adapter, including this one.
    pub adapter_waiters: usize,
    /// The servers at which requests ahead of this one wait for capacity.
    pub reserved: &'a [ServerId],
}

impl QueueWait<'_> {
    /// The wait after which several requests for the same adapter justify loading another copy: the
    /// length of the prefill pacing window.
    const COPY_AFTER_MS: u64 = 300;
    /// The number of waiting requests that shows that the engines with an adapter cannot serve its
    /// demand.
    const COPY_WAITERS_MIN: usize = 2;
    /// The wait after which a single request justifies another copy, shortly before the request
    /// would be given up. The weight store serves only a few loads at once over all engines, and an
    /// earlier copy would delay the loads that other requests wait for.
    const COPY_FOR_ONE_AFTER_MS: u64 = 1_000;

    fn justifies_copy(self) -> bool {
        let has_high_demand =
            self.adapter_waiters >= Self::COPY_WAITERS_MIN && self.waited_ms >= Self::COPY_AFTER_MS;
        has_high_demand || self.waited_ms >= Self::COPY_FOR_ONE_AFTER_MS
    }
}

/// Selects the engine for a request of an entry in the failure domain `local_domain`.
///
/// The request is never placed on a server in `avoided`.
pub fn place_engine(
    now: MonoTime,
    fleet: &Fleet,
    engine_spec: &EngineSpec,
    demand: &RequestDemand,
    local_domain: &FailureDomain,
    avoided: &[ServerId],
    wait: QueueWait<'_>,
) -> Placement {
    let is_eligible =
        |server: &&Server| server.is_usable(now) && !avoided.contains(&server.listed.id);
    let eligible: Vec<&Server> = fleet.servers_for(demand).filter(is_eligible).collect();
    if eligible.is_empty() {
        // An engine in failure backoff is available again sooner than a model could be loaded.
        let has_engine = fleet.servers_for(demand).next().is_some();
        return if has_engine { Placement::AwaitCapacity(None) } else { Placement::NoEngine };
    }
    // A long prompt goes to an engine that prefills it fast enough for the streams running there.
    let fast_enough: Vec<&Server> =
        eligible.iter().copied().filter(|server| !server.prompt_exceeds_gap(now, demand)).collect();
    let candidates = if fast_enough.is_empty() { eligible } else { fast_enough };

    let has_adapter = |server: &Server| {
        demand.adapter.as_ref().is_none_or(|key| server.has_adapter(key, demand.min_version))
    };
    let (with_adapter, without_adapter): (Vec<&Server>, Vec<&Server>) =
        candidates.into_iter().partition(|server| has_adapter(server));
    let available_engine = with_adapter
        .iter()
        .filter(|server| {
            server.has_prefill_capacity(now, demand)
                && !server.is_full(now, demand, engine_spec.batch_limit)
                && !wait.reserved.contains(&server.listed.id)
        })
        .min_by(|left, right| {
            engine_cost_ms(now, left, demand, local_domain).total_cmp(&engine_cost_ms(
                now,
                right,
                demand,
                local_domain,
            ))
        });
    if let Some(server) = available_engine {
        return Placement::Send(server.listed.id.clone());
    }
    // Waits for an engine that is already loading the adapter, whichever entry demanded it.
    let loading = demand.adapter.as_ref().and_then(|key| {
        without_adapter
            .iter()
            .find(|server| server.is_loading_adapter(now, key, demand.min_version))
    });
    if let Some(server) = loading {
        return Placement::AwaitLoad(server.listed.id.clone());
    }
    // All engines with the adapter are busy. Another copy costs a load and another adapter's slot.
    let soonest = with_adapter.iter().min_by(|left, right| {
        left.estimated_first_event_ms(now, demand)
            .total_cmp(&right.estimated_first_event_ms(now, demand))
    });
    if let Some(server) = soonest
        && !wait.justifies_copy()
    {
        return Placement::AwaitCapacity(Some(server.listed.id.clone()));
    }
    let loaders = without_adapter.into_iter().filter(|server| {
        server.fresh_update(now).is_some() && !server.is_full(now, demand, engine_spec.batch_limit)
    });
    match choose_loader(now, demand, loaders.collect()) {
        Some(loader) => Placement::AwaitLoad(loader.listed.id.clone()),
        None => Placement::AwaitCapacity(None),
    }
}

/// Selects the engine that loads an adapter: the first in the adapter's rendezvous order whose
/// request load is within the bound, or the first of all if no engine is within it.
fn choose_loader<'a>(
    now: MonoTime,
    demand: &RequestDemand,
    mut loaders: Vec<&'a Server>,
) -> Option<&'a Server> {
    let seed = demand.adapter.as_ref().map_or(0, |key| stable_hash(key.adapter.as_str()));
    let total_load: u32 = loaders.iter().map(|server| server.request_load(now)).sum();
    let mean_load = f64::from(total_load) / loaders.len().max(1) as f64;
    let bound = mean_load * LOAD_BOUND_FACTOR + LOAD_BOUND_OFFSET;
    // Engines with an older version come last: requests on it would delay its replacement.
    let has_older_version = |server: &Server| {
        demand.adapter.as_ref().is_some_and(|key| server.loaded_version(key).is_some())
    };
    loaders.sort_unstable_by_key(|server| {
        (has_older_version(server), std::cmp::Reverse(mix_hashes(seed, server.address_hash())))
    });
    let within_bound = loaders.iter().find(|server| f64::from(server.request_load(now)) <= bound);
    within_bound.or(loaders.first()).copied()
}

/// Selects the backend server for a request to a service without engines, if one is left.
///
/// The request is never placed on a server in `avoided`.
pub fn place_plain(
    now: MonoTime,
    fleet: &Fleet,
    demand: &RequestDemand,
    local_domain: &FailureDomain,
    avoided: &[ServerId],
) -> Option<ServerId> {
    let candidates = |only_usable: bool| {
        fleet.servers().filter(move |server| {
            server.listed.service == demand.service
                && !server.listed.is_draining
                && (server.is_usable(now) || !only_usable)
        })
    };
    let cheapest = |only_usable: bool| {
        candidates(only_usable).filter(|server| !avoided.contains(&server.listed.id)).min_by(
            |left, right| {
                let cost = |server| plain_cost_ms(server, local_domain);
                cost(left).total_cmp(&cost(right))
            },
        )
    };
    // A server in failure backoff is better than none.
    cheapest(true).or_else(|| cheapest(false)).map(|server| server.listed.id.clone())
}

/// Returns the cost of sending a request to an engine, as an equivalent delay.
fn engine_cost_ms(
    now: MonoTime,
    server: &Server,
    demand: &RequestDemand,
    local_domain: &FailureDomain,
) -> f64 {
    server.estimated_first_event_ms(now, demand)
        + f64::from(server.request_load(now)) * RUNNING_REQUEST_COST_MS
        + cross_domain_cost_ms(server, local_domain)
        + server.failure_rate() * FAILURE_COST_MS
}

/// Returns the cost of sending a request to a plain backend server, as an equivalent delay.
fn plain_cost_ms(server: &Server, local_domain: &FailureDomain) -> f64 {
    // A local server is preferred until half of its concurrency limit is in use.
    let utilization =
        f64::from(server.open_requests) / f64::from(server.listed.concurrency_limit.max(1));
    utilization * CROSS_DOMAIN_COST_MS * 2.0
        + cross_domain_cost_ms(server, local_domain)
        + server.failure_rate() * FAILURE_COST_MS
}

fn cross_domain_cost_ms(server: &Server, local_domain: &FailureDomain) -> f64 {
    if server.listed.domain == *local_domain { 0.0 } else { CROSS_DOMAIN_COST_MS }
}
