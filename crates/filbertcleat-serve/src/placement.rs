//! Selects the backend server of a request.

use std::cmp::Ordering;

use filbertcleat_base::FailureDomain;
use filbertcleat_base::MonoTime;
use filbertcleat_base::mix_hashes;
use filbertcleat_base::stable_hash;

use crate::EngineSpec;
use crate::Fleet;
use crate::RequestDemand;
use crate::Server;
use crate::ServerId;
use crate::fleet::ServiceTime;

/// The decision on a request in one pass over the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Placement {
    /// Send the request to this backend server.
    Send(ServerId),
    /// Wait until this backend server has loaded the adapter.
    AwaitLoad(ServerId),
    /// Wait until a backend server has free capacity: the given one, or any if none is given.
    AwaitCapacity(Option<ServerId>),
    /// All backend servers that might serve the request are in a pause, until this time at least.
    Paused(MonoTime),
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
/// The cost of one request with an output of mean length in the batch to the other requests, through
/// longer decoding steps.
const RUNNING_REQUEST_COST_MS: f64 = 1.0;
/// The cost of a server that fails every request. Lower failure rates cost proportionally less.
const FAILURE_COST_MS: f64 = 3_000.0;

/// The cost of a server whose concurrency limit this entry uses alone, without known response times.
/// A local server is preferred until half of its limit is in use.
const FULL_SERVER_COST_MS: f64 = CROSS_DOMAIN_COST_MS * 2.0;
/// The same in medians of the response times, for services that take longer. Other entries use the
/// server too, so that it queues requests well before this entry alone reaches the limit.
const FULL_SERVER_MEDIANS: f64 = 2.0;
/// The price of traffic between domains, as a part of the latency objective, where the delay is
/// known from response times. A gain that is smaller than that decides hardly ever whether a
/// response is in time.
const CROSS_DOMAIN_PRICE_SHARE: f64 = 0.02;
/// One request of this many is sent to any server if responses are at risk of being late. Most
/// requests stay in the domain.
const SAMPLE_INTERVAL: u64 = 32;

/// The state of a waiting request that affects its placement.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueueWait<'a> {
    /// The time since the request was queued.
    pub waited_ms: u64,
    /// The prompt tokens of the requests that wait for the same adapter at all entries, including
    /// this one.
    pub adapter_tokens: u64,
    /// The rate at which prompt tokens of requests for the same adapter arrive at all entries.
    pub adapter_tokens_per_ms: f64,
    /// The time that a request currently waits for the load of an adapter.
    pub load_ms: u64,
    /// The servers at which requests ahead of this one wait for capacity.
    pub reserved: &'a [ServerId],
    /// The servers whose loads this request has awaited in vain.
    pub slow_loaders: &'a [ServerId],
}

impl QueueWait<'_> {
    /// The part of the capacity of the engines with an adapter from which its requests alone are
    /// the reason that the engines are busy.
    const HOT_SHARE: f64 = 0.5;

    /// Returns whether another copy of an adapter is worth a load.
    ///
    /// A copy of a hot adapter is, if its waiting requests would take the engines with it longer
    /// than the load takes. A copy of any other adapter relieves its engines of little. It is worth
    /// a load only for a request that has waited for half of its objective, and only while loads
    /// are so fast that the request can still meet it.
    ///
    /// Load pattern: a front of requests for many adapters, of which a few are popular. The weight
    /// store serves only a few loads at once over all engines, so each copy that is not needed
    /// delays the loads that other requests wait for. When these delays grow, copies become rarer.
    fn justifies_copy(self, demand: &RequestDemand, holders: &[&Server]) -> bool {
        // A server that names a limit is to be relieved.
        let mut unlimited = holders.iter().filter(|server| !server.is_limited()).peekable();
        if unlimited.peek().is_none() {
            return true;
        }
        let capacity: f64 = unlimited.map(|server| server.prefill_tokens_per_ms(demand)).sum();
        if self.adapter_tokens_per_ms > capacity * Self::HOT_SHARE {
            let drain_ms = self.adapter_tokens as f64 / capacity;
            return drain_ms.max(self.waited_ms as f64) > self.load_ms as f64;
        }
        let half_objective_ms = demand.latency_objective_ms / 2;
        self.waited_ms >= half_objective_ms && self.load_ms <= half_objective_ms
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
        if let Some(opens_at) = engine_pause_end(now, fleet, demand, avoided) {
            return Placement::Paused(opens_at);
        }
        // An engine in failure backoff is available again sooner than a model could be loaded.
        let has_engine = fleet.servers_for(demand).next().is_some();
        return if has_engine { Placement::AwaitCapacity(None) } else { Placement::NoEngine };
    }
    let has_adapter = |server: &Server| {
        demand.adapter.as_ref().is_none_or(|key| server.has_adapter(key, demand.min_version))
    };
    let (with_adapter, without_adapter): (Vec<&Server>, Vec<&Server>) =
        eligible.into_iter().partition(|server| has_adapter(server));
    let with_adapter = prefer_fast(now, demand, with_adapter);
    let without_adapter = prefer_fast(now, demand, without_adapter);
    let available_engine = with_adapter
        .iter()
        .filter(|server| {
            server.has_permit(now)
                && server.has_prefill_capacity(now, demand)
                && !server.is_full(now, demand, engine_spec.batch_limit)
                && !wait.reserved.contains(&server.listed.id)
        })
        .min_by(|left, right| {
            let cost_ms = |server: &Server| engine_cost_ms(now, server, demand, local_domain);
            compare(demand, left, right, cost_ms)
        });
    if let Some(server) = available_engine {
        return Placement::Send(server.listed.id.clone());
    }
    // Waits for an engine that is already loading the adapter, whichever entry demanded it.
    let loading = demand.adapter.as_ref().and_then(|key| {
        without_adapter
            .iter()
            .filter(|server| !wait.slow_loaders.contains(&server.listed.id))
            .find(|server| server.is_loading_adapter(now, key, demand.min_version))
    });
    if let Some(server) = loading {
        return Placement::AwaitLoad(server.listed.id.clone());
    }
    if with_adapter.is_empty()
        && let Some(holder) = holder_opening_soon(now, fleet, demand, avoided, wait)
    {
        return Placement::AwaitCapacity(Some(holder.listed.id.clone()));
    }
    // All engines with the adapter are busy. Another copy costs a load and another adapter's slot.
    let start_ms =
        |server: &Server| server.estimated_first_event_ms(now, demand) + server.permit_wait_ms(now);
    let soonest =
        with_adapter.iter().min_by(|left, right| start_ms(left).total_cmp(&start_ms(right)));
    if let Some(server) = soonest
        && !wait.justifies_copy(demand, &with_adapter)
    {
        return Placement::AwaitCapacity(Some(server.listed.id.clone()));
    }
    // A copy on an engine that is busy itself would not be used before the others have room.
    let is_copy = soonest.is_some();
    let may_load = |server: &&Server| {
        !wait.slow_loaders.contains(&server.listed.id)
            && server.fresh_update(now).is_some()
            && !server.is_full(now, demand, engine_spec.batch_limit)
            && (!is_copy || server.has_prefill_capacity(now, demand))
    };
    let (limited, loaders): (Vec<&Server>, Vec<&Server>) =
        without_adapter.into_iter().filter(may_load).partition(|server| server.is_limited());
    let loaders = if loaders.is_empty() && !is_copy { limited } else { loaders };
    match choose_loader(now, demand, loaders) {
        Some(loader) => Placement::AwaitLoad(loader.listed.id.clone()),
        None => Placement::AwaitCapacity(soonest.map(|server| server.listed.id.clone())),
    }
}

/// Selects the engine that should load another copy of a hot adapter before the engines with it are
/// busy, or returns `None` if one is being loaded. All entries select the same one.
///
/// Load pattern: a fleet of so many entries that they learn late of each other's prompts. The engines
/// with a popular adapter look free to each of them while all of them together fill those engines,
/// and the streams there pause although most of the fleet is idle.
pub fn place_early_copy(
    now: MonoTime,
    fleet: &Fleet,
    engine_spec: &EngineSpec,
    demand: &RequestDemand,
) -> Option<ServerId> {
    let key = demand.adapter.as_ref()?;
    let usable = fleet.servers_for(demand).filter(|server| server.is_usable(now));
    let others: Vec<&Server> =
        usable.filter(|server| !server.has_adapter(key, demand.min_version)).collect();
    if others.iter().any(|server| server.is_loading_adapter(now, key, demand.min_version)) {
        return None;
    }
    let may_load = |server: &&Server| {
        !server.is_limited()
            && server.fresh_update(now).is_some()
            && server.has_prefill_capacity(now, demand)
            && !server.is_full(now, demand, engine_spec.batch_limit)
    };
    let loaders = others.into_iter().filter(may_load).collect();
    choose_loader(now, demand, loaders).map(|server| server.listed.id.clone())
}

/// Returns the paused engine with the adapter that opens before a load elsewhere would be complete.
///
/// The adapters of a paused engine would otherwise displace those of the other engines, which would
/// then have to load them again.
fn holder_opening_soon<'a>(
    now: MonoTime,
    fleet: &'a Fleet,
    demand: &RequestDemand,
    avoided: &[ServerId],
    wait: QueueWait<'_>,
) -> Option<&'a Server> {
    let key = demand.adapter.as_ref()?;
    let holders = fleet.servers_for(demand).filter(|server| {
        !avoided.contains(&server.listed.id) && server.has_adapter(key, demand.min_version)
    });
    let paused = holders.filter_map(|server| Some((server.paused_until(now)?, server)));
    let (opens_at, holder) = paused.min_by_key(|(opens_at, _)| *opens_at)?;
    (opens_at.ms_since(now) <= wait.load_ms).then_some(holder)
}

/// Returns the engines that prefill a long prompt fast enough for the streams running there, or all
/// of them if there is none.
///
/// Engines with the adapter are never passed over for faster ones that have to load it.
fn prefer_fast<'a>(
    now: MonoTime,
    demand: &RequestDemand,
    servers: Vec<&'a Server>,
) -> Vec<&'a Server> {
    let fast_enough: Vec<&Server> =
        servers.iter().copied().filter(|server| !server.prompt_exceeds_gap(now, demand)).collect();
    if fast_enough.is_empty() { servers } else { fast_enough }
}

/// Selects the engine that loads an adapter: the first in the adapter's rendezvous order whose
/// request load is within the bound, or the first of all if no engine is within it.
fn choose_loader<'a>(
    now: MonoTime,
    demand: &RequestDemand,
    mut loaders: Vec<&'a Server>,
) -> Option<&'a Server> {
    let seed = demand.adapter.as_ref().map_or(0, |key| stable_hash(key.adapter.as_str()));
    let loads = loaders.iter().map(|server| server.request_load(now));
    let total_load = loads.fold(0, u32::saturating_add);
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
/// The request is never placed on a server in `avoided`. While a server of the service is in a pause
/// or names a limit, the others get no more requests than they process at once, so that its load
/// does not overload them too.
pub fn place_plain(
    now: MonoTime,
    fleet: &Fleet,
    demand: &RequestDemand,
    local_domain: &FailureDomain,
    avoided: &[ServerId],
) -> Option<ServerId> {
    let is_any_relieved = fleet
        .candidates_for(demand)
        .any(|server| server.paused_until(now).is_some() || server.is_limited());
    let candidates = |only_usable: bool| {
        fleet.candidates_for(demand).filter(move |server| {
            server.paused_until(now).is_none()
                && server.has_permit(now)
                && (server.is_usable(now) || !only_usable)
                && (!is_any_relieved || has_free_concurrency(server))
        })
    };
    let times = fleet.times_at_risk(demand);
    let cost_ms = |server: &Server| {
        times.map_or_else(
            || plain_cost_ms(server, local_domain),
            |times| learned_plain_cost_ms(now, server, demand, times, local_domain),
        )
    };
    let cheapest = |only_usable: bool| {
        candidates(only_usable)
            .filter(|server| !avoided.contains(&server.listed.id))
            .min_by(|left, right| compare(demand, left, right, cost_ms))
    };
    if times.is_some()
        && let Some(other) = choose_sample(fleet, || {
            candidates(true).filter(|server| !avoided.contains(&server.listed.id))
        })
    {
        return Some(other.listed.id.clone());
    }
    // A server in failure backoff is better than none.
    cheapest(true).or_else(|| cheapest(false)).map(|server| server.listed.id.clone())
}

/// Returns when the first engine ends its pause, if all that might serve the request are in one.
pub fn engine_pause_end(
    now: MonoTime,
    fleet: &Fleet,
    demand: &RequestDemand,
    avoided: &[ServerId],
) -> Option<MonoTime> {
    first_pause_end(now, || fleet.servers_for(demand), avoided)
}

/// Returns when the first server of a service without engines ends its pause, if all that might
/// serve the request are in one.
pub fn plain_pause_end(
    now: MonoTime,
    fleet: &Fleet,
    demand: &RequestDemand,
    avoided: &[ServerId],
) -> Option<MonoTime> {
    first_pause_end(now, || fleet.candidates_for(demand), avoided)
}

/// A server in `avoided` may be the one that has just turned the request away. It counts as open
/// neither during its pause nor after it, but callers may return to it.
fn first_pause_end<'a, I: Iterator<Item = &'a Server>>(
    now: MonoTime,
    servers: impl Fn() -> I,
    avoided: &[ServerId],
) -> Option<MonoTime> {
    let is_open = |server: &Server| {
        server.paused_until(now).is_none() && !avoided.contains(&server.listed.id)
    };
    if servers().any(is_open) {
        return None;
    }
    servers().filter_map(|server| server.paused_until(now)).min()
}

/// Returns the time until the limit of a server without an engine allows a request, if the limits
/// of all that might serve it allow none now.
pub fn plain_permit_wait_ms(
    now: MonoTime,
    fleet: &Fleet,
    demand: &RequestDemand,
    avoided: &[ServerId],
) -> Option<u64> {
    let open = fleet.candidates_for(demand).filter(|server| {
        server.paused_until(now).is_none() && !avoided.contains(&server.listed.id)
    });
    let wait_ms = open.map(|server| server.permit_wait_ms(now)).min_by(f64::total_cmp)?;
    (wait_ms > 0.0).then(|| wait_ms.ceil() as u64)
}

fn has_free_concurrency(server: &Server) -> bool {
    server.open_requests < server.listed.concurrency_limit.max(1)
}

/// Compares two servers that have room for a request; the lesser one should get it.
fn compare(
    demand: &RequestDemand,
    left: &Server,
    right: &Server,
    cost_ms: impl Fn(&Server) -> f64,
) -> Ordering {
    let is_last = |server: &Server| demand.is_last_choice(&server.listed.id);
    let by_cost = || cost_ms(left).total_cmp(&cost_ms(right));
    is_last(left).cmp(&is_last(right)).then_with(by_cost)
}

/// Returns the cost of sending a request to an engine, as an equivalent delay.
fn engine_cost_ms(
    now: MonoTime,
    server: &Server,
    demand: &RequestDemand,
    local_domain: &FailureDomain,
) -> f64 {
    server.estimated_first_event_ms(now, demand)
        + server.output_load(now) * RUNNING_REQUEST_COST_MS
        + cross_domain_cost_ms(server, local_domain)
        + server.failure_rate() * FAILURE_COST_MS
}

/// Returns the cost of sending a request to a plain backend server, as an equivalent delay.
fn plain_cost_ms(server: &Server, local_domain: &FailureDomain) -> f64 {
    utilization(server) * FULL_SERVER_COST_MS
        + cross_domain_cost_ms(server, local_domain)
        + server.failure_rate() * FAILURE_COST_MS
}

/// Returns the part of a server's concurrency limit that this entry uses.
fn utilization(server: &Server) -> f64 {
    f64::from(server.open_requests) / f64::from(server.listed.concurrency_limit.max(1))
}

/// Returns the cost of sending a request to a plain backend server of a route whose response times
/// are known.
///
/// The response times at a server include the way to it, so that only the price of traffic between
/// domains is added for a server that has answered often enough.
fn learned_plain_cost_ms(
    now: MonoTime,
    server: &Server,
    demand: &RequestDemand,
    times: &ServiceTime,
    local_domain: &FailureDomain,
) -> f64 {
    let median_ms = times.median_ms();
    let crossing_ms = cross_domain_cost_ms(server, local_domain);
    let price_ms = demand.latency_objective_ms as f64 * CROSS_DOMAIN_PRICE_SHARE;
    let crossing_ms =
        if server.plain.is_settled() { crossing_ms.min(price_ms) } else { crossing_ms };
    let full_ms = (median_ms * FULL_SERVER_MEDIANS).max(FULL_SERVER_COST_MS);
    utilization(server) * full_ms
        + crossing_ms
        + (server.plain.expected_ms(now, median_ms) - median_ms)
        + server.failure_rate() * FAILURE_COST_MS
}

/// Selects any server for a few requests, so that an entry also knows the response times of those
/// that it does not use otherwise.
fn choose_sample<'a, I: Iterator<Item = &'a Server>>(
    fleet: &Fleet,
    candidates: impl Fn() -> I,
) -> Option<&'a Server> {
    let draw = fleet.draw();
    if !draw.is_multiple_of(SAMPLE_INTERVAL) {
        return None;
    }
    let count = candidates().count().max(1);
    let index = (draw / SAMPLE_INTERVAL) as usize % count;
    candidates().nth(index).filter(|server| has_free_concurrency(server))
}

fn cross_domain_cost_ms(server: &Server, local_domain: &FailureDomain) -> f64 {
    if server.listed.domain == *local_domain { 0.0 } else { CROSS_DOMAIN_COST_MS }
}
