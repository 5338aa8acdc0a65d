//! Which backend server a request is sent to.

use filbertcleat_base::MonoTime;
use filbertcleat_base::PlaceName;
use filbertcleat_base::hash;
use filbertcleat_base::mix;

use crate::Demand;
use crate::EngineShape;
use crate::Fleet;
use crate::Server;
use crate::ServerId;

/// What to do with a request now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Placement {
    /// Send it; a further copy of its adapter would help those that follow.
    Send {
        /// The backend server.
        server: ServerId,
        /// The backend server that should load a copy.
        copy_at: Option<ServerId>,
    },
    /// Wait until the backend server has loaded the adapter.
    Load(ServerId),
    /// Wait until some backend server has room.
    Full,
    /// No backend server can run it.
    Nowhere,
}

/// What a load of an adapter costs a request that waits for it: a quarter of a second at the
/// store's usual pace, and the way to the agent and back.
const LOAD_MS: f64 = 300.0;
/// A crossing between failure domains, weighed as delay; the bytes have a price too.
const CROSSING_MS: f64 = 15.0;
/// One place in an adapter's rendezvous order: enough to let entries agree on a home, too little
/// to keep a request at a busy one.
const RANK_MS: f64 = 10.0;
/// What one request in the batch costs the others, through longer steps.
const RUNNING_MS: f64 = 1.0;
/// The delay that a server which fails every request is charged.
const FAILURE_MS: f64 = 3_000.0;
/// A second copy of an adapter is worth a load once its holders are slower than others by this.
const COPY_MS: f64 = 150.0;

/// Chooses the engine for a request that is at `home` and must avoid some backend servers.
pub fn place_engine(
    now: MonoTime,
    fleet: &Fleet,
    shape: &EngineShape,
    demand: &Demand,
    home: &PlaceName,
    avoided: &[ServerId],
) -> Placement {
    let seed = demand.adapter.as_ref().map_or(0, |key| hash(key.adapter.as_str()));
    let mut holder: Option<(f64, &Server)> = None;
    let mut other: Option<(f64, &Server)> = None;
    let mut is_any_sound = false;

    for server in fleet.servers() {
        let is_candidate = server.listed.service == demand.service
            && server.is_usable(now)
            && !avoided.contains(&server.listed.id)
            && demand.model.as_ref().is_none_or(|model| server.holds_model(model));
        if !is_candidate {
            continue;
        }
        is_any_sound = true;
        if server.is_full(now, demand, shape.slots) {
            continue;
        }

        let cost_ms = cost_ms(now, server, demand, home);
        let is_holder = demand
            .adapter
            .as_ref()
            .is_none_or(|key| server.holds_adapter(key, demand.version));
        if is_holder {
            keep_least(&mut holder, cost_ms, server);
        } else if server.fresh_news(now).is_some() {
            let rank = mix(seed, hash(server.listed.id.as_str())) >> 60;
            keep_least(&mut other, cost_ms + rank as f64 * RANK_MS, server);
        }
    }

    match (holder, other) {
        (Some((holder_ms, server)), Some((other_ms, loader))) if holder_ms > other_ms + LOAD_MS => {
            // Waiting for the load is expected to be the shorter way only if it really is quick,
            // so the request goes where it can begin at once.
            let copy_at = Some(loader.listed.id.clone());
            Placement::Send { server: server.listed.id.clone(), copy_at }
        }
        (Some((holder_ms, server)), other) => {
            let copy_at = other
                .filter(|(other_ms, _)| holder_ms > other_ms + COPY_MS)
                .map(|(_, loader)| loader.listed.id.clone());
            Placement::Send { server: server.listed.id.clone(), copy_at }
        }
        (None, Some((_, loader))) => Placement::Load(loader.listed.id.clone()),
        (None, None) if is_any_sound => Placement::Full,
        (None, None) => Placement::Nowhere,
    }
}

/// Chooses the backend server of a plain service.
pub fn place_plain(
    now: MonoTime,
    fleet: &Fleet,
    demand: &Demand,
    home: &PlaceName,
    avoided: &[ServerId],
) -> Option<ServerId> {
    let candidates = |is_strict: bool| {
        fleet.servers().filter(move |server| {
            server.listed.service == demand.service
                && !server.listed.is_leaving
                && (server.is_usable(now) || !is_strict)
        })
    };
    let least = |is_strict: bool| {
        candidates(is_strict)
            .filter(|server| !avoided.contains(&server.listed.id))
            .min_by(|left, right| {
                let cost = |server| plain_cost_ms(server, home);
                cost(left).total_cmp(&cost(right))
            })
    };
    // A doubtful server is better than none.
    least(true).or_else(|| least(false)).map(|server| server.listed.id.clone())
}

fn cost_ms(now: MonoTime, server: &Server, demand: &Demand, home: &PlaceName) -> f64 {
    server.first_event_ms(now, demand)
        + f64::from(server.load(now)) * RUNNING_MS
        + crossing_ms(server, home)
        + server.failed_share() * FAILURE_MS
}

fn plain_cost_ms(server: &Server, home: &PlaceName) -> f64 {
    // Half the places of a server in the own domain are filled before one crosses.
    let fill = f64::from(server.open) / f64::from(server.listed.slots.max(1));
    fill * CROSSING_MS * 2.0 + crossing_ms(server, home) + server.failed_share() * FAILURE_MS
}

fn crossing_ms(server: &Server, home: &PlaceName) -> f64 {
    if server.listed.domain == *home { 0.0 } else { CROSSING_MS }
}

fn keep_least<'a>(best: &mut Option<(f64, &'a Server)>, cost_ms: f64, server: &'a Server) {
    if best.is_none_or(|(least_ms, _)| cost_ms < least_ms) {
        *best = Some((cost_ms, server));
    }
}
