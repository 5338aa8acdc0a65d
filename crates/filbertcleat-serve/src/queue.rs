//! Which requests wait at an entry, and in which order they leave.

mod cause;
mod ticket;

use std::collections::BTreeMap;

use filbertcleat_base::FailureDomain;
use filbertcleat_base::MonoTime;
use filbertcleat_base::mix_hashes;

pub use self::cause::WaitCause;
pub use self::ticket::Ticket;
use crate::AdapterDemand;
use crate::AdapterKey;
use crate::EngineSpec;
use crate::Fleet;
use crate::Placement;
use crate::QueueWait;
use crate::RequestDemand;
use crate::ServerId;
use crate::place_engine;

/// The requests that wait for an engine.
#[derive(Debug)]
pub struct RequestQueue {
    seed: u64,
    draws: u64,
    next: u64,
    waiting: BTreeMap<Ticket, Waiter>,
}

#[derive(Debug)]
struct Waiter {
    demand: RequestDemand,
    since: MonoTime,
    avoided: Vec<ServerId>,
    load: Option<(ServerId, MonoTime)>,
    cause: WaitCause,
    turn: Option<(ServerId, MonoTime)>,
}

impl RequestQueue {
    /// A load that takes longer is tried elsewhere: ten times what one takes unhurried, as they all
    /// take longer while many are on their way.
    const LOAD_PATIENCE_MS: u64 = 2_500;
    /// Entries that wait for room at one engine all see it at the same moment. Each waits a random
    /// time within a span of so long an entry, in which the first one's prompt becomes known to the
    /// others by way of the agent.
    const TURN_MS: u64 = 8;
    /// The longest span, which is little beside the objective of any stream.
    const TURNS_MAX_MS: u64 = 60;

    /// Creates a queue whose random times come from a seed that differs between entries.
    pub fn new(seed: u64) -> Self {
        Self { seed, draws: 0, next: 0, waiting: BTreeMap::new() }
    }

    /// Adds a request that must avoid some backend servers.
    pub fn push(&mut self, now: MonoTime, demand: RequestDemand, avoided: Vec<ServerId>) -> Ticket {
        let ticket = Ticket { priority: demand.priority, number: self.next };
        self.next += 1;
        self.waiting.insert(
            ticket,
            Waiter {
                demand,
                since: now,
                avoided,
                load: None,
                cause: WaitCause::Pending,
                turn: None,
            },
        );
        ticket
    }

    /// Takes a request out, whose caller left or which is given up.
    ///
    /// Returns what it waited for and at which backend server, if it still did.
    pub fn remove(&mut self, ticket: Ticket) -> Option<(WaitCause, Option<ServerId>)> {
        let waiter = self.waiting.remove(&ticket)?;
        Some((waiter.cause, waiter.load.map(|(server, _)| server)))
    }

    /// Returns what a request waits for.
    pub fn wait_cause(&self, ticket: Ticket) -> Option<WaitCause> {
        self.waiting.get(&ticket).map(|waiter| waiter.cause)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether a request waits for its turn only.
    pub fn has_jittered_requests(&self) -> bool {
        self.waiting.values().any(|waiter| waiter.turn.is_some())
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the requests that can go now with their backend servers, the most urgent first.
    pub fn dispatch<'a>(
        &mut self,
        now: MonoTime,
        fleet: &mut Fleet,
        home: &FailureDomain,
        shape: impl Fn(&RequestDemand) -> Option<&'a EngineSpec>,
    ) -> Vec<(Ticket, ServerId, RequestDemand)> {
        let mut ready = Vec::new();
        let mut reserved = Vec::new();
        let alike = self.alike();
        let span_ms = u64::from(fleet.live_entries(now).unwrap_or(1)) * Self::TURN_MS;
        let span_ms = span_ms.min(Self::TURNS_MAX_MS);
        for (ticket, waiter) in &mut self.waiting {
            let Some(shape) = shape(&waiter.demand) else { continue };
            if waiter.is_load_stuck(now, fleet) {
                waiter.give_up_load();
            }
            let demand = &waiter.demand;
            let alike =
                demand.adapter.as_ref().map_or(1, |key| alike.get(key).copied().unwrap_or(1));
            let wait = QueueWait {
                waited_ms: now.ms_since(waiter.since),
                adapter_waiters: alike,
                reserved: &reserved,
            };
            match place_engine(now, fleet, shape, demand, home, &waiter.avoided, wait) {
                Placement::Send(server) => {
                    self.draws += 1;
                    let draw_ms = mix_hashes(self.seed, self.draws) % span_ms.max(1);
                    if waiter.has_turn(now, &server, draw_ms) {
                        fleet.on_sent(now, &server, &waiter.demand);
                        ready.push((*ticket, server, waiter.demand.clone()));
                    } else {
                        reserved.push(server);
                    }
                }
                Placement::AwaitLoad(server) => {
                    waiter.cause = WaitCause::AdapterLoad;
                    waiter.turn = None;
                    waiter.load.get_or_insert((server, now));
                }
                Placement::AwaitCapacity(server) => {
                    waiter.cause = WaitCause::Capacity;
                    waiter.turn = None;
                    reserved.extend(server);
                }
                Placement::NoEngine => waiter.cause = WaitCause::Engine,
            }
        }
        for (ticket, _, _) in &ready {
            self.waiting.remove(ticket);
        }
        ready
    }

    /// Estimates the time until a request like this would find room: the prompts that go before it, here
    /// and as many at each other entry, at the pace of the engines that hold its model.
    ///
    /// It is unknown while no such engine is usable.
    pub fn estimated_wait_ms(
        &self,
        now: MonoTime,
        fleet: &Fleet,
        demand: &RequestDemand,
    ) -> Option<u64> {
        let ahead = self.waiting.values().map(|waiter| &waiter.demand).filter(|other| {
            other.service == demand.service
                && other.model == demand.model
                && other.priority <= demand.priority
        });
        let ahead: u64 = ahead.map(|other| other.prompt_tokens).sum();
        let tokens = ahead * u64::from(fleet.live_entries(now).unwrap_or(1)) + demand.prompt_tokens;
        let engines = fleet.servers_for(demand).filter(|server| server.is_usable(now));
        let pace: f64 = engines.map(|server| server.prefill_tokens_per_ms(demand)).sum();
        (pace > 0.0).then(|| (tokens as f64 / pace).ceil() as u64)
    }

    /// Counts the requests that wait for each adapter.
    fn alike(&self) -> BTreeMap<AdapterKey, usize> {
        let mut alike = BTreeMap::new();
        for key in self.waiting.values().filter_map(|waiter| waiter.demand.adapter.as_ref()) {
            *alike.entry(key.clone()).or_default() += 1;
        }
        alike
    }

    /// Returns the adapters that a backend server should load, the most urgent first.
    pub fn adapter_demand(&self, server: &ServerId) -> Vec<AdapterDemand> {
        let mut wants: Vec<AdapterDemand> = Vec::new();
        for waiter in self.waiting.values() {
            let Some(key) = &waiter.demand.adapter else { continue };
            if waiter.load.as_ref().is_none_or(|(at, _)| at != server) {
                continue;
            }
            match wants.iter_mut().find(|want| want.key == *key) {
                Some(want) => {
                    want.waiting_requests += 1;
                    want.min_version = want.min_version.max(waiter.demand.min_version);
                }
                None => wants.push(AdapterDemand {
                    key: key.clone(),
                    min_version: waiter.demand.min_version,
                    priority: waiter.demand.priority,
                    waiting_requests: 1,
                }),
            }
        }
        wants
    }
}

impl Waiter {
    /// Returns whether a request that found room may take it, after a random time if it waited.
    fn has_turn(&mut self, now: MonoTime, server: &ServerId, draw_ms: u64) -> bool {
        if self.cause == WaitCause::Pending {
            return true;
        }
        match &self.turn {
            Some((at, from)) if at == server => now >= *from,
            _ => {
                self.turn = Some((server.clone(), now.plus_ms(draw_ms)));
                draw_ms == 0
            }
        }
    }

    fn is_load_stuck(&self, now: MonoTime, fleet: &Fleet) -> bool {
        self.load.as_ref().is_some_and(|(at, since)| {
            let is_lost = fleet
                .server(at)
                .is_none_or(|server| !server.is_usable(now) || server.fresh_update(now).is_none());
            is_lost || now.ms_since(*since) > RequestQueue::LOAD_PATIENCE_MS
        })
    }

    /// Looks for another backend server; the one that was too slow is asked again last.
    fn give_up_load(&mut self) {
        if let Some((at, _)) = self.load.take() {
            self.avoided.push(at);
        }
    }
}
