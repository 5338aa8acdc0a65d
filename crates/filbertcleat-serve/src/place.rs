//! Which backend server a request is sent to.

use filbertcleat_base::FailureDomain;
use filbertcleat_base::MonoTime;
use filbertcleat_base::mix_hashes;
use filbertcleat_base::stable_hash;

use crate::EngineSpec;
use crate::Fleet;
use crate::RequestDemand;
use crate::Server;
use crate::ServerId;

/// What to do with a request now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Placement {
    /// Send it.
    Send(ServerId),
    /// Wait until the backend server has loaded the adapter.
    AwaitLoad(ServerId),
    /// Wait until a backend server has room, the named one if it is known.
    AwaitCapacity(Option<ServerId>),
    /// No backend server can run it.
    NoEngine,
}

/// A crossing between failure domains, weighed as delay; the bytes have a price too.
const CROSSING_MS: f64 = 15.0;
/// An adapter is loaded by the first engine of its rendezvous order whose batch is no larger than
/// the mean by this factor and number. The weight store serves few loads at once over all engines,
/// and an engine that held an adapter before needs none, so an adapter comes back to its home.
const LOAD_BOUND: f64 = 1.3;
const LOAD_BOUND_MORE: f64 = 4.0;
/// What one request in the batch costs the others, through longer steps.
const RUNNING_MS: f64 = 1.0;
/// The delay that a server which fails every request is charged.
const FAILURE_MS: f64 = 3_000.0;

/// How a request has waited.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueueWait<'a> {
    /// The time that it has waited.
    pub waited_ms: u64,
    /// The requests that wait for the same adapter, with this one.
    pub adapter_waiters: usize,
    /// Servers at which requests ahead of it wait for room.
    pub reserved: &'a [ServerId],
}

impl QueueWait<'_> {
    /// Several requests that wait so long for room at an adapter's holders make a further copy
    /// worth a load: as long as prompts are paced over.
    const COPY_MS: u64 = 300;
    /// The requests that show an adapter to be wanted more than its holders can serve.
    const COPY_ALIKE: usize = 2;
    /// A single request gets a copy only before it would be given up: the weight store serves few
    /// loads at once over all engines, and other requests wait for theirs.
    const COPY_LATE_MS: u64 = 1_000;

    fn is_worth_a_copy(self) -> bool {
        let is_hot = self.adapter_waiters >= Self::COPY_ALIKE && self.waited_ms >= Self::COPY_MS;
        is_hot || self.waited_ms >= Self::COPY_LATE_MS
    }
}

/// Chooses the engine for a request that has waited, is at `home` and must avoid some servers.
pub fn place_engine(
    now: MonoTime,
    fleet: &Fleet,
    shape: &EngineSpec,
    demand: &RequestDemand,
    home: &FailureDomain,
    avoided: &[ServerId],
    wait: QueueWait<'_>,
) -> Placement {
    let is_sound = |server: &&Server| server.is_usable(now) && !avoided.contains(&server.listed.id);
    let sound: Vec<&Server> = fleet.servers_for(demand).filter(is_sound).collect();
    if sound.is_empty() {
        // One that is passed over for a moment will be back sooner than a model is loaded.
        let is_any = fleet.servers_for(demand).next().is_some();
        return if is_any { Placement::AwaitCapacity(None) } else { Placement::NoEngine };
    }
    // A long prompt goes to the quick engines, where the other streams bear it.
    let easy: Vec<&Server> =
        sound.iter().copied().filter(|server| !server.prompt_exceeds_gap(now, demand)).collect();
    let candidates = if easy.is_empty() { sound } else { easy };

    let is_holder = |server: &Server| {
        demand.adapter.as_ref().is_none_or(|key| server.has_adapter(key, demand.min_version))
    };
    let (holders, others): (Vec<&Server>, Vec<&Server>) =
        candidates.into_iter().partition(|server| is_holder(server));
    let free_holder = holders
        .iter()
        .filter(|server| {
            server.has_prefill_capacity(now, demand)
                && !server.is_full(now, demand, shape.batch_limit)
                && !wait.reserved.contains(&server.listed.id)
        })
        .min_by(|left, right| {
            cost_ms(now, left, demand, home).total_cmp(&cost_ms(now, right, demand, home))
        });
    if let Some(server) = free_holder {
        return Placement::Send(server.listed.id.clone());
    }
    // An adapter that is on its way somewhere is waited for there, whoever asked for it.
    let awaiting = demand.adapter.as_ref().and_then(|key| {
        others.iter().find(|server| server.is_loading_adapter(now, key, demand.min_version))
    });
    if let Some(server) = awaiting {
        return Placement::AwaitLoad(server.listed.id.clone());
    }
    // The holders are busy for the moment; a copy costs a load and another adapter's place.
    let nearest = holders.iter().min_by(|left, right| {
        left.estimated_first_event_ms(now, demand)
            .total_cmp(&right.estimated_first_event_ms(now, demand))
    });
    if let Some(server) = nearest
        && !wait.is_worth_a_copy()
    {
        return Placement::AwaitCapacity(Some(server.listed.id.clone()));
    }
    let loaders = others.into_iter().filter(|server| {
        server.fresh_update(now).is_some() && !server.is_full(now, demand, shape.batch_limit)
    });
    match choose_loader(now, demand, loaders.collect()) {
        Some(loader) => Placement::AwaitLoad(loader.listed.id.clone()),
        None => Placement::AwaitCapacity(None),
    }
}

/// Chooses the engine that loads an adapter: the first of its rendezvous order within the bound.
fn choose_loader<'a>(
    now: MonoTime,
    demand: &RequestDemand,
    mut loaders: Vec<&'a Server>,
) -> Option<&'a Server> {
    let seed = demand.adapter.as_ref().map_or(0, |key| stable_hash(key.adapter.as_str()));
    let sum: u32 = loaders.iter().map(|server| server.request_load(now)).sum();
    let mean = f64::from(sum) / loaders.len().max(1) as f64;
    let bound = mean * LOAD_BOUND + LOAD_BOUND_MORE;
    // An older version in use would hold the newer one up, so its engine comes last.
    let holds_older = |server: &Server| {
        demand.adapter.as_ref().is_some_and(|key| server.loaded_version(key).is_some())
    };
    loaders.sort_unstable_by_key(|server| {
        (holds_older(server), std::cmp::Reverse(mix_hashes(seed, server.address_hash())))
    });
    let within = loaders.iter().find(|server| f64::from(server.request_load(now)) <= bound);
    within.or(loaders.first()).copied()
}

/// Chooses the backend server of a plain service.
pub fn place_plain(
    now: MonoTime,
    fleet: &Fleet,
    demand: &RequestDemand,
    home: &FailureDomain,
    avoided: &[ServerId],
) -> Option<ServerId> {
    let candidates = |is_strict: bool| {
        fleet.servers().filter(move |server| {
            server.listed.service == demand.service
                && !server.listed.is_draining
                && (server.is_usable(now) || !is_strict)
        })
    };
    let least = |is_strict: bool| {
        candidates(is_strict).filter(|server| !avoided.contains(&server.listed.id)).min_by(
            |left, right| {
                let cost = |server| plain_cost_ms(server, home);
                cost(left).total_cmp(&cost(right))
            },
        )
    };
    // A doubtful server is better than none.
    least(true).or_else(|| least(false)).map(|server| server.listed.id.clone())
}

fn cost_ms(now: MonoTime, server: &Server, demand: &RequestDemand, home: &FailureDomain) -> f64 {
    server.estimated_first_event_ms(now, demand)
        + f64::from(server.request_load(now)) * RUNNING_MS
        + crossing_ms(server, home)
        + server.failure_rate() * FAILURE_MS
}

fn plain_cost_ms(server: &Server, home: &FailureDomain) -> f64 {
    // Half the places of a server in the own domain are filled before one crosses.
    let fill = f64::from(server.open_requests) / f64::from(server.listed.concurrency_limit.max(1));
    fill * CROSSING_MS * 2.0 + crossing_ms(server, home) + server.failure_rate() * FAILURE_MS
}

fn crossing_ms(server: &Server, home: &FailureDomain) -> f64 {
    if server.listed.domain == *home { 0.0 } else { CROSSING_MS }
}
