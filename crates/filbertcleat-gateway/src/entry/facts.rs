//! Tells other processes what the entry learns, and applies what they tell.

use std::net::SocketAddr;

use filbertcleat_base::MonoTime;
use filbertcleat_base::mix_hashes;
use filbertcleat_serve::Fact;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::fact_holders;

use super::holders::peer_addresses;
use super::notices::log_leaving;
use super::state::Entry;
use super::state::State;
use crate::Dialect;
use crate::metrics::Metric;
use crate::peer_socket::PeerUpdate;

/// From where an entry learns facts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FactSource {
    /// The entry has seen them itself.
    Seen,
    /// An agent that holds the facts of all entries told them.
    Agent,
    /// They are kept in the catalogue.
    Catalogue,
}

/// Changes the facts that the entry knows, and logs which requests are turned away or no longer are.
/// Returns the facts that are new.
pub(super) fn change_facts<D: Dialect>(
    entry: &Entry<D>,
    source: FactSource,
    change: impl FnOnce(&mut Fleet) -> Vec<Fact>,
) -> Vec<Fact> {
    let now = entry.now();
    let state = &mut *entry.state.borrow_mut();
    let before = state.fleet.facts().crashes().suspected();
    let news = change(&mut state.fleet);
    if news.is_empty() {
        return news;
    }
    let after = state.fleet.facts().crashes().suspected();
    match source {
        FactSource::Seen => state.kept.on_seen(),
        FactSource::Agent if after != before => {
            let entries = state.fleet.live_entries(now).unwrap_or(1);
            let draw = mix_hashes(entry.incarnation, now.as_us());
            state.kept.on_told(now, entries, draw);
        }
        FactSource::Agent | FactSource::Catalogue => {}
    }
    entry.facts_changed.notify_one();
    for suspect in after.difference(&before) {
        log::warn!("event=suspect-held kind={} suspect={suspect}", suspect.kind());
    }
    for suspect in before.difference(&after) {
        log::info!("event=suspect-cleared kind={} suspect={suspect}", suspect.kind());
    }
    entry.dispatcher_wakeup.notify_one();
    news
}

/// Tells facts to the agents that hold them, which pass them on to all entries.
pub(super) fn tell_holders<D: Dialect>(entry: &Entry<D>, facts: Vec<Fact>) {
    if facts.is_empty() {
        return;
    }
    count_facts(entry, FactSource::Seen, &facts);
    let holders = holders(&entry.state.borrow().fleet, entry.settings.peer_port);
    let update = PeerUpdate::Facts { facts, is_complete: false };
    for holder in holders {
        entry.peers.send(holder, &update);
    }
}

/// Applies the facts of an agent. The agent gets those that its complete list lacks.
pub(super) fn on_facts<D: Dialect>(
    entry: &Entry<D>,
    from: SocketAddr,
    facts: &[Fact],
    is_complete: bool,
) {
    merge_facts(entry, facts, FactSource::Agent);
    if !is_complete {
        return;
    }
    let now = entry.now();
    let missing = entry.state.borrow().fleet.facts().missing_in(now, facts);
    if !missing.is_empty() {
        entry.peers.send(from, &PeerUpdate::Facts { facts: missing, is_complete: false });
    }
}

/// Adds the facts of another process. Returns those that are new.
pub(super) fn merge_facts<D: Dialect>(
    entry: &Entry<D>,
    facts: &[Fact],
    source: FactSource,
) -> Vec<Fact> {
    let (now, start_max_unix_ms) = (entry.now(), entry.settings.start_max_unix_ms());
    let merge = |fleet: &mut Fleet| fleet.merge_facts(now, facts, start_max_unix_ms);
    let news = change_facts(entry, source, merge);
    count_facts(entry, source, &news);
    for fact in &news {
        if let Fact::Leaving(mark) = fact {
            log_leaving(entry, "peer", &mark.server, mark.started_unix_ms);
        }
    }
    news
}

/// Returns whether the entry hears one of the agents that hold the facts of all entries.
pub(super) fn hears_holders<D: Dialect>(now: MonoTime, state: &State<D>) -> bool {
    let holders = state.agent_updates.fact_holders();
    let mut heard = state.fleet.servers().filter(|server| server.fresh_update(now).is_some());
    heard.any(|server| holders.iter().any(|holder| holder.ip() == server.listed.address.ip()))
}

/// Returns the addresses of the agents that hold the facts of all entries.
pub(super) fn holders(fleet: &Fleet, port: u16) -> Vec<SocketAddr> {
    peer_addresses(fleet, port, fact_holders)
}

fn count_facts<D: Dialect>(entry: &Entry<D>, source: FactSource, facts: &[Fact]) {
    let by = match source {
        FactSource::Seen => "own",
        FactSource::Agent => "told",
        FactSource::Catalogue => "kept",
    };
    for fact in facts {
        let kind = match fact {
            Fact::Crash(_) => "crash",
            Fact::Leaving(_) => "leaving",
        };
        entry.metrics.count(Metric::Facts, &[("kind", kind), ("by", by)]);
    }
}
