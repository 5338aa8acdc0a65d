//! Tells other processes what the entry learns, and applies what they tell.

use std::net::SocketAddr;

use filbertcleat_serve::Fact;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::fact_holders;

use super::holders::peer_addresses;
use super::notices::log_leaving;
use super::state::Entry;
use crate::Dialect;
use crate::metrics::Metric;
use crate::peer_socket::PeerUpdate;

/// Changes the facts that the entry knows, and logs which requests are turned away or no longer are.
/// Returns the facts that are new.
pub(super) fn change_facts<D: Dialect>(
    entry: &Entry<D>,
    change: impl FnOnce(&mut Fleet) -> Vec<Fact>,
) -> Vec<Fact> {
    let fleet = &mut entry.state.borrow_mut().fleet;
    let before = fleet.facts().crashes().suspected();
    let news = change(fleet);
    if news.is_empty() {
        return news;
    }
    let after = fleet.facts().crashes().suspected();
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
    count_facts(entry, "own", &facts);
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
    let now = entry.now();
    let news = change_facts(entry, |fleet| fleet.merge_facts(now, facts));
    count_facts(entry, "told", &news);
    for fact in &news {
        if let Fact::Leaving(mark) = fact {
            log_leaving(entry, "peer", &mark.server, mark.started_unix_ms);
        }
    }
    if !is_complete {
        return;
    }
    let missing = entry.state.borrow().fleet.facts().missing_in(now, facts);
    if !missing.is_empty() {
        entry.peers.send(from, &PeerUpdate::Facts { facts: missing, is_complete: false });
    }
}

/// Returns the addresses of the agents that hold the facts of all entries.
pub(super) fn holders(fleet: &Fleet, port: u16) -> Vec<SocketAddr> {
    peer_addresses(fleet, port, fact_holders)
}

fn count_facts<D: Dialect>(entry: &Entry<D>, by: &str, facts: &[Fact]) {
    for fact in facts {
        let kind = match fact {
            Fact::Crash(_) => "crash",
            Fact::Leaving(_) => "leaving",
        };
        entry.metrics.count(Metric::Facts, &[("kind", kind), ("by", by)]);
    }
}
