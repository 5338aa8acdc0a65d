//! Which requests wait at an entry, and in which order they leave.

use std::collections::BTreeMap;

use filbertcleat_base::MonoTime;
use filbertcleat_base::PlaceName;

use crate::AdapterKey;
use crate::Demand;
use crate::EngineShape;
use crate::Fleet;
use crate::Placement;
use crate::ServerId;
use crate::Want;
use crate::place_engine;

/// A request's place in the queue: by urgency, then by arrival.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket {
    priority: u8,
    number: u64,
}

/// The requests that wait for an engine.
#[derive(Debug, Default)]
pub struct Queue {
    next: u64,
    waiting: BTreeMap<Ticket, Waiter>,
    copies: BTreeMap<(ServerId, AdapterKey), Copy>,
}

#[derive(Debug)]
struct Waiter {
    demand: Demand,
    avoided: Vec<ServerId>,
    load: Option<(ServerId, MonoTime)>,
}

/// A further copy of an adapter that is asked for without anyone waiting.
#[derive(Debug)]
struct Copy {
    until: MonoTime,
    version: u64,
    priority: u8,
}

impl Queue {
    /// A load that takes longer is tried elsewhere: four times what one takes unhurried.
    const LOAD_PATIENCE_MS: u64 = 1_000;
    /// How long a wish for a further copy stands after the last request that asked for it.
    const COPY_MS: u64 = 400;

    /// Adds a request that must avoid some backend servers.
    pub fn push(&mut self, demand: Demand, avoided: Vec<ServerId>) -> Ticket {
        let ticket = Ticket { priority: demand.priority, number: self.next };
        self.next += 1;
        self.waiting.insert(ticket, Waiter { demand, avoided, load: None });
        ticket
    }

    /// Takes a request out, whose caller left or which is given up.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
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
            match place_engine(now, fleet, shape, demand, home, &waiter.avoided) {
                Placement::Send { server, copy_at } => {
                    fleet.sent(now, &server, demand);
                    if let (Some(at), Some(key)) = (copy_at, &demand.adapter) {
                        let copy = Copy {
                            until: now.plus_ms(Self::COPY_MS),
                            version: demand.version,
                            priority: demand.priority,
                        };
                        self.copies.insert((at, key.clone()), copy);
                    }
                    ready.push((*ticket, server));
                }
                Placement::Load(server) if waiter.load.is_none() => {
                    waiter.load = Some((server, now));
                }
                Placement::Load(_) | Placement::Full | Placement::Nowhere => {}
            }
        }
        for (ticket, _) in &ready {
            self.waiting.remove(ticket);
        }
        self.copies.retain(|_, copy| copy.until > now);
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
        for ((at, key), copy) in &self.copies {
            if at == server && !wants.iter().any(|want| want.key == *key) {
                wants.push(Want {
                    key: key.clone(),
                    version: copy.version,
                    priority: copy.priority,
                    waiting: 0,
                });
            }
        }
        wants
    }
}

impl Waiter {
    fn is_load_stuck(&self, now: MonoTime, fleet: &Fleet) -> bool {
        self.load.as_ref().is_some_and(|(at, since)| {
            let is_lost =
                fleet.server(at).is_none_or(|server| {
                    !server.is_usable(now) || server.fresh_news(now).is_none()
                });
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
