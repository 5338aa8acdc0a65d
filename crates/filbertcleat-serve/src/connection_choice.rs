//! Which connection of a caller makes room for a new one.

use std::cmp::Reverse;

use filbertcleat_base::MonoTime;

/// What a connection is used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionUse {
    /// Its last response has been sent, and the caller has not closed it.
    Ending,
    /// The first bytes of a request, its head or its body are awaited.
    Arriving,
    /// It waits for the next request.
    Idle,
    /// A request is handled or its response is written.
    Busy,
}

/// The state of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionState {
    /// What the connection is used for.
    pub usage: ConnectionUse,
    /// Whether a request on it has had its response.
    pub has_responded: bool,
    /// Since when the caller has done nothing for it, or too little of a body has arrived.
    pub since: MonoTime,
}

/// How long the beginning of a request may take before its connection can be closed for another:
/// many round trips.
const ARRIVAL_MS: u64 = 500;
/// How long a connection has to be idle before it can be closed for another.
const IDLE_MS: u64 = 1_000;

/// Returns the connection that a new one replaces, or `None` if all others go first.
///
/// Connections go that have never brought a whole request, then those that stop short of one, then
/// idle ones, and of each the one that has done nothing for longest.
pub fn choose_connection<K>(
    now: MonoTime,
    connections: impl Iterator<Item = (K, ConnectionState)>,
) -> Option<K> {
    let ranked = connections.filter_map(|(key, state)| {
        let waited_ms = now.ms_since(state.since);
        let rank = match state.usage {
            ConnectionUse::Ending => 0,
            ConnectionUse::Arriving if waited_ms < ARRIVAL_MS => return None,
            ConnectionUse::Arriving if !state.has_responded => 1,
            ConnectionUse::Arriving => 2,
            ConnectionUse::Idle if waited_ms < IDLE_MS => return None,
            ConnectionUse::Idle => 3,
            ConnectionUse::Busy => return None,
        };
        Some((key, (rank, Reverse(waited_ms))))
    });
    ranked.min_by_key(|(_, order)| *order).map(|(key, _)| key)
}
