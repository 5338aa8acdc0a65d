//! Which requests wait at an entry, and in which order they leave.

mod cause;
mod ticket;

use std::collections::BTreeMap;

use filbertcleat_base::MonoTime;
use filbertcleat_base::PlaceName;

pub use self::cause::WaitCause;
pub use self::ticket::Ticket;
use crate::Demand;
use crate::EngineShape;
use crate::Fleet;
use crate::Placement;
use crate::ServerId;
use crate::Want;
use crate::place_engine;

/// The requests that wait for an engine.
#[derive(Debug, Default)]
pub struct Queue {
    next: u64,
    waiting: BTreeMap<Ticket, Waiter>,
}

#[derive(Debug)]
struct Waiter {
    demand: Demand,
    since: MonoTime,
    avoided: Vec<ServerId>,
    load: Option<(ServerId, MonoTime)>,
    cause: WaitCause,
}

impl Queue {
    /// A load that takes longer is tried elsewhere: four times what one takes unhurried.
    const LOAD_PATIENCE_MS: u64 = 1_000;

    /// Adds a request that must avoid some backend servers.
    pub fn push(&mut self, now: MonoTime, demand: Demand, avoided: Vec<ServerId>) -> Ticket {
        let ticket = Ticket { priority: demand.priority, number: self.next };
        self.next += 1;
        self.waiting.insert(
            ticket,
            Waiter { demand, since: now, avoided, load: None, cause: WaitCause::Look },
        );
        ticket
    }

    /// Takes a request out, whose caller left or which is given up.
    ///
    /// Returns what it waited for, if it still did.
    pub fn leave(&mut self, ticket: Ticket) -> Option<WaitCause> {
        self.waiting.remove(&ticket).map(|waiter| waiter.cause)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the requests that can go now with their backend servers, the most urgent first.
    pub fn pump<'a>(
        &mut self,
        now: MonoTime,
        fleet: &mut Fleet,
        home: &PlaceName,
        shape: impl Fn(&Demand) -> Option<&'a EngineShape>,
    ) -> Vec<(Ticket, ServerId)> {
        let mut ready = Vec::new();
        for (ticket, waiter) in &mut self.waiting {
            let Some(shape) = shape(&waiter.demand) else { continue };
            if waiter.is_load_stuck(now, fleet) {
                waiter.give_up_load();
            }
            let demand = &waiter.demand;
            let waited_ms = now.ms_since(waiter.since);
            match place_engine(now, fleet, shape, demand, home, &waiter.avoided, waited_ms) {
                Placement::Send(server) => {
                    fleet.sent(now, &server, demand);
                    ready.push((*ticket, server));
                }
                Placement::Load(server) => {
                    waiter.cause = WaitCause::Load;
                    waiter.load.get_or_insert((server, now));
                }
                Placement::Full => waiter.cause = WaitCause::Room,
                Placement::Nowhere => waiter.cause = WaitCause::Engine,
            }
        }
        for (ticket, _) in &ready {
            self.waiting.remove(ticket);
        }
        ready
    }

    /// Returns the adapters that a backend server should load, the most urgent first.
    pub fn wants(&self, server: &ServerId) -> Vec<Want> {
        let mut wants: Vec<Want> = Vec::new();
        for waiter in self.waiting.values() {
            let Some(key) = &waiter.demand.adapter else { continue };
            if waiter.load.as_ref().is_none_or(|(at, _)| at != server) {
                continue;
            }
            match wants.iter_mut().find(|want| want.key == *key) {
                Some(want) => {
                    want.waiting += 1;
                    want.version = want.version.max(waiter.demand.version);
                }
                None => wants.push(Want {
                    key: key.clone(),
                    version: waiter.demand.version,
                    priority: waiter.demand.priority,
                    waiting: 1,
                }),
            }
        }
        wants
    }
}

impl Waiter {
    fn is_load_stuck(&self, now: MonoTime, fleet: &Fleet) -> bool {
        self.load.as_ref().is_some_and(|(at, since)| {
            let is_lost = fleet
                .server(at)
                .is_none_or(|server| !server.is_usable(now) || server.fresh_news(now).is_none());
            is_lost || now.ms_since(*since) > Queue::LOAD_PATIENCE_MS
        })
    }

    /// Looks for another backend server; the one that was too slow is asked again last.
    fn give_up_load(&mut self) {
        if let Some((at, _)) = self.load.take() {
            self.avoided.push(at);
        }
    }
}
