//! Orders the requests that wait at an entry and dispatches them to engines.

mod arrival_rates;
mod cause;
mod fair_shares;
mod first_event_margins;
mod load_wait;
mod queued_request;
mod request_times;
mod sent_request;
mod ticket;

use std::cmp::Ordering;
use std::collections::BTreeMap;

use filbertcleat_base::FailureDomain;
use filbertcleat_base::MonoTime;
use filbertcleat_base::ServiceName;
use filbertcleat_base::WorkspaceName;
use filbertcleat_base::mix_hashes;

use self::arrival_rates::ArrivalRates;
pub use self::cause::WaitCause;
pub use self::fair_shares::EngineTime;
pub use self::fair_shares::FairShares;
pub use self::fair_shares::FlowId;
pub use self::fair_shares::LateRequests;
use self::first_event_margins::FirstEventMargins;
use self::load_wait::LoadWait;
use self::queued_request::QueuedRequest;
pub use self::request_times::RequestTimes;
pub use self::sent_request::SentRequest;
pub use self::ticket::Ticket;
use crate::AdapterDemand;
use crate::AdapterKey;
use crate::EngineSpec;
use crate::Fleet;
use crate::Placement;
use crate::QueueWait;
use crate::RequestDemand;
use crate::Server;
use crate::ServerId;
use crate::place_early_copy;
use crate::place_engine;

/// The requests that wait for an engine, in the order of their priority and arrival. Requests of
/// equal priority are served so that each workspace gets an equal share of engine time. Within it,
/// those that can still meet their latency objective precede those that cannot.
#[derive(Debug)]
pub struct RequestQueue {
    seed: u64,
    draws: u64,
    next: u64,
    requests: BTreeMap<Ticket, QueuedRequest>,
    load_wait: LoadWait,
    arrivals: ArrivalRates,
    shares: FairShares,
    margins: FirstEventMargins,
    /// The copies of hot adapters that engines should load, and when they were last wanted.
    early_copies: BTreeMap<AdapterKey, EarlyCopy>,
}

/// A copy of a hot adapter that an engine should load before the other engines with it are busy.
#[derive(Debug)]
struct EarlyCopy {
    loader: ServerId,
    demand: AdapterDemand,
    wanted_at: MonoTime,
}

impl RequestQueue {
    /// The time after which a request stops waiting for a load and tries another server: ten times
    /// the duration of a load without contention, because concurrent loads slow each other down.
    const LOAD_TIMEOUT_MS: u64 = 2_500;
    /// The jitter span per live entry. Entries that wait for capacity of the same engine all see it
    /// become free at the same moment. The random delay lets the agent announce the prompt of the
    /// first entry before the others send theirs.
    const JITTER_PER_ENTRY_MS: u64 = 8;
    /// How long a copy of a hot adapter stays wanted after the last request that showed the need: the
    /// time to load one while several are loaded.
    const EARLY_COPY_WANTED_MS: u64 = 600;
    /// A flow with at most this many late requests serves them in the order of arrival. A workspace
    /// within its share has so few after a clump, and would lose them to the requests that follow.
    const LATE_IN_ORDER_MAX: usize = 2;
    /// The longest jitter span, which is short compared with the latency objective of any stream.
    const JITTER_MAX_MS: u64 = 60;

    /// Creates an empty queue. The seed of its random jitter must differ between entries.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            draws: 0,
            next: 0,
            requests: BTreeMap::new(),
            load_wait: LoadWait::new(),
            arrivals: ArrivalRates::default(),
            shares: FairShares::default(),
            margins: FirstEventMargins::default(),
            early_copies: BTreeMap::new(),
        }
    }

    /// Adds a request that has just arrived, as [`Self::push_with_times`] does.
    pub fn push(&mut self, now: MonoTime, demand: RequestDemand, avoided: Vec<ServerId>) -> Ticket {
        let deadline = now.plus_ms(demand.latency_objective_ms.saturating_mul(2));
        self.push_with_times(now, demand, avoided, RequestTimes { arrived_at: now, deadline })
    }

    /// Adds a request that must not be sent to the servers in `avoided`.
    pub fn push_with_times(
        &mut self,
        now: MonoTime,
        demand: RequestDemand,
        avoided: Vec<ServerId>,
        times: RequestTimes,
    ) -> Ticket {
        let ticket = Ticket { priority: demand.priority, number: self.next };
        self.next += 1;
        self.arrivals.record(now, &demand);
        let flow = self.shares.push(ticket.number, &demand);
        self.requests.insert(
            ticket,
            QueuedRequest {
                demand,
                flow,
                rank: usize::MAX,
                queued_at: now,
                times,
                avoided,
                slow_loaders: Vec::new(),
                awaited_load: None,
                cause: WaitCause::Pending,
                jitter: None,
            },
        );
        ticket
    }

    /// Removes a request that was given up or whose caller disconnected.
    ///
    /// Returns why the request waited and the server whose load it awaited, or `None` if it is not
    /// queued.
    pub fn remove(
        &mut self,
        now: MonoTime,
        ticket: Ticket,
    ) -> Option<(WaitCause, Option<ServerId>)> {
        let request = self.requests.remove(&ticket)?;
        self.shares.remove(request.flow, ticket.number);
        if let Some((_, since)) = request.awaited_load {
            self.load_wait.on_unfinished(now.ms_since(since));
        }
        Some((request.cause, request.awaited_load.map(|(server, _)| server)))
    }

    /// Returns why a request waits, or `None` if it is not queued.
    pub fn wait_cause(&self, ticket: Ticket) -> Option<WaitCause> {
        self.requests.get(&ticket).map(|request| request.cause)
    }

    /// Returns the requests that found all engines in a pause. They should be refused at once.
    pub fn paused_requests(&self) -> impl Iterator<Item = Ticket> {
        let mut requests = self.requests.iter();
        std::iter::from_fn(move || requests.find(|(_, request)| request.cause == WaitCause::Paused))
            .map(|(ticket, _)| *ticket)
    }

    /// Returns the requests whose demand meets a condition.
    pub fn requests_where(
        &self,
        condition: impl Fn(&RequestDemand) -> bool,
    ) -> impl Iterator<Item = Ticket> {
        let requests = self.requests.iter();
        requests.filter(move |(_, request)| condition(&request.demand)).map(|(ticket, _)| *ticket)
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether a request has found capacity and waits only for its jitter to end.
    pub fn has_jittered_requests(&self) -> bool {
        self.requests.values().any(|request| request.jitter.is_some())
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Removes the requests that can be sent now and returns them with their backend servers, in
    /// queue order. The requests are recorded as sent in `fleet`.
    pub fn dispatch<'a>(
        &mut self,
        now: MonoTime,
        fleet: &mut Fleet,
        local_domain: &FailureDomain,
        engine_spec: impl Fn(&RequestDemand) -> Option<&'a EngineSpec>,
    ) -> Vec<SentRequest> {
        self.early_copies
            .retain(|_, copy| now.ms_since(copy.wanted_at) <= Self::EARLY_COPY_WANTED_MS);
        let mut ready = Vec::new();
        let mut reserved = Vec::new();
        let live_entries = u64::from(fleet.live_entries(now).unwrap_or(1));
        let adapter_tokens = self.adapter_tokens();
        let load_ms = self.load_wait.expected_ms();
        let span_ms = live_entries * Self::JITTER_PER_ENTRY_MS;
        let span_ms = span_ms.min(Self::JITTER_MAX_MS);
        let times = self.engine_times(fleet, &engine_spec);
        for (rank, ticket) in self.order(now, &times).into_iter().enumerate() {
            let Some(request) = self.requests.get_mut(&ticket) else { continue };
            request.rank = rank;
            let Some(engine_spec) = engine_spec(&request.demand) else { continue };
            if request.is_load_stuck(now, fleet) {
                request.give_up_load();
            }
            let demand = &request.demand;
            let tokens = demand.adapter.as_ref().and_then(|key| adapter_tokens.get(key)).copied();
            let wait = QueueWait {
                waited_ms: now.ms_since(request.queued_at),
                adapter_tokens: tokens.unwrap_or(demand.prompt_tokens).saturating_mul(live_entries),
                adapter_tokens_per_ms: self.arrivals.tokens_per_ms(now, demand)
                    * live_entries as f64,
                load_ms,
                reserved: &reserved,
                slow_loaders: &request.slow_loaders,
            };
            let avoided = &request.avoided;
            match place_engine(now, fleet, engine_spec, demand, local_domain, avoided, wait) {
                Placement::Send(server) => {
                    self.draws += 1;
                    let jitter_ms = mix_hashes(self.seed, self.draws) % span_ms.max(1);
                    if request.may_send(now, &server, jitter_ms) {
                        let backlog_ms = fleet.on_sent(now, &server, &request.demand);
                        let demand = request.demand.clone();
                        ready.push(SentRequest { ticket, server, demand, backlog_ms });
                    } else {
                        reserved.push(server);
                    }
                }
                Placement::AwaitLoad(server) => {
                    request.cause = WaitCause::AdapterLoad;
                    request.jitter = None;
                    request.awaited_load.get_or_insert((server, now));
                }
                Placement::AwaitCapacity(server) => {
                    request.cause = WaitCause::Capacity;
                    request.jitter = None;
                    reserved.extend(server);
                }
                Placement::Paused(_) => {
                    request.cause = WaitCause::Paused;
                    request.jitter = None;
                }
                Placement::NoEngine => {
                    request.cause = WaitCause::Engine;
                    request.jitter = None;
                }
            }
        }
        for sent in &ready {
            let Some(request) = self.requests.remove(&sent.ticket) else { continue };
            if let Some(time) = times.get(&request.demand.service) {
                self.shares.on_sent(request.flow, sent.ticket.number, *time);
            }
            if let Some((loader, since)) = request.awaited_load
                && loader == sent.server
            {
                self.load_wait.on_finished(now.ms_since(since));
            }
        }
        let waiting = self.requests.values().filter(|request| request.awaits_capacity());
        self.shares.on_pass(waiting.map(|request| request.flow));
        ready
    }

    /// Records the time from the dispatch of a request to its first event.
    pub fn on_response_started(&mut self, fleet: &Fleet, demand: &RequestDemand, wait_ms: u64) {
        if demand.prompt_tokens > 0 {
            let ms_per_prompt_token = fleet.ms_per_prompt_token(&demand.service);
            self.margins.observe(demand, wait_ms, ms_per_prompt_token);
        }
    }

    /// Returns all requests in the order in which they should be served.
    fn order(&self, now: MonoTime, times: &BTreeMap<ServiceName, EngineTime>) -> Vec<Ticket> {
        let time = |service: &ServiceName| times.get(service).copied().unwrap_or_default();
        let late = self.late_requests(now, time);
        if let Some(order) = self.shares.order(time, &late) {
            return order
                .into_iter()
                .map(|(priority, number)| Ticket { priority, number })
                .collect();
        }
        let mut order: Vec<Ticket> = self.requests.keys().copied().collect();
        if !late.is_empty() {
            order.sort_by_key(|ticket| (ticket.priority, late.get(&ticket.number)));
        }
        order
    }

    /// Returns the deadlines of the requests that should be served after the others of their flow,
    /// because they cannot meet their objective any more.
    fn late_requests(
        &self,
        now: MonoTime,
        time: impl Fn(&ServiceName) -> EngineTime,
    ) -> LateRequests {
        let is_late = |request: &QueuedRequest| {
            let waited_ms = now.ms_since(request.times.arrived_at);
            // Most requests need no estimate, because every one may wait for part of its objective.
            if waited_ms <= FirstEventMargins::wait_min_ms(&request.demand) {
                return false;
            }
            let ms_per_prompt_token = time(&request.demand.service).ms_per_prompt_token;
            waited_ms > self.margins.wait_max_ms(&request.demand, ms_per_prompt_token)
        };
        let late = self.requests.iter().filter(|(_, request)| is_late(request));
        let mut late: BTreeMap<&Ticket, &QueuedRequest> = late.collect();
        if !late.is_empty() {
            let mut counts: BTreeMap<FlowId, usize> = BTreeMap::new();
            for request in late.values() {
                *counts.entry(request.flow).or_default() += 1;
            }
            let causes = self.shares.causes_of_wait(time);
            counts.retain(|flow, count| *count > Self::LATE_IN_ORDER_MAX && causes.contains(flow));
            late.retain(|_, request| counts.contains_key(&request.flow));
        }
        late.into_iter().map(|(ticket, it)| (ticket.number, it.times.deadline)).collect()
    }

    /// Returns what tokens cost at the engines of each service that has queued requests.
    fn engine_times<'a>(
        &self,
        fleet: &Fleet,
        engine_spec: impl Fn(&RequestDemand) -> Option<&'a EngineSpec>,
    ) -> BTreeMap<ServiceName, EngineTime> {
        let mut times = BTreeMap::new();
        for (priority, number) in self.shares.first_requests() {
            let Some(request) = self.requests.get(&Ticket { priority, number }) else { continue };
            let demand = &request.demand;
            if !times.contains_key(&demand.service) {
                let batch_limit = engine_spec(demand).map_or(1, |spec| spec.batch_limit);
                let ms_per_prompt_token = fleet.ms_per_prompt_token(&demand.service);
                let time = EngineTime { ms_per_prompt_token, batch_limit };
                times.insert(demand.service.clone(), time);
            }
        }
        times
    }

    /// Wants another copy of a request's adapter, which an agent has found to be hot.
    pub fn want_early_copy(
        &mut self,
        now: MonoTime,
        fleet: &Fleet,
        demand: &RequestDemand,
        engine_spec: &EngineSpec,
    ) {
        let Some(key) = &demand.adapter else { return };
        let Some(loader) = place_early_copy(now, fleet, engine_spec, demand) else { return };
        let adapter_demand = AdapterDemand {
            key: key.clone(),
            min_version: demand.min_version,
            priority: demand.priority,
            waiting_requests: 0,
        };
        let copy = EarlyCopy { loader, demand: adapter_demand, wanted_at: now };
        self.early_copies.insert(key.clone(), copy);
    }

    /// Estimates how long a new request with this demand would wait for capacity, or returns `None`
    /// while no engine with its model is usable.
    ///
    /// The estimate divides the prompt tokens ahead of the request by the prefill rate of the
    /// engines, assuming that every live entry has as many prompts queued as this one.
    pub fn estimated_wait_ms(
        &self,
        now: MonoTime,
        fleet: &Fleet,
        demand: &RequestDemand,
    ) -> Option<u64> {
        let ahead = self.tokens_ahead(demand);
        let entries = u64::from(fleet.live_entries(now).unwrap_or(1));
        let tokens = ahead.saturating_mul(entries).saturating_add(demand.prompt_tokens);
        let engines = fleet.servers_for(demand).filter(|server| server.is_usable(now));
        let tokens_per_ms: f64 = engines.map(|server| tokens_per_ms(server, demand)).sum();
        (tokens_per_ms > 0.0).then(|| (tokens as f64 / tokens_per_ms).ceil() as u64)
    }

    /// Returns the prompt tokens that are served before a new request. Within its priority these are
    /// all of its own workspace, and of every other one as many as its own has then got.
    fn tokens_ahead(&self, demand: &RequestDemand) -> u64 {
        let mut urgent_tokens: u64 = 0;
        let mut tokens: BTreeMap<Option<&WorkspaceName>, u64> = BTreeMap::new();
        for other in self.requests.values().map(|request| &request.demand) {
            if other.service != demand.service || other.model != demand.model {
                continue;
            }
            match other.priority.cmp(&demand.priority) {
                Ordering::Less => {
                    urgent_tokens = urgent_tokens.saturating_add(other.prompt_tokens);
                }
                Ordering::Equal => {
                    let sum = tokens.entry(other.workspace.as_ref()).or_default();
                    *sum = sum.saturating_add(other.prompt_tokens);
                }
                Ordering::Greater => {}
            }
        }
        let own_tokens = tokens.remove(&demand.workspace.as_ref()).unwrap_or(0);
        let share_tokens = own_tokens.saturating_add(demand.prompt_tokens);
        let others_tokens = tokens.values().map(|tokens| *tokens.min(&share_tokens));
        others_tokens.fold(urgent_tokens.saturating_add(own_tokens), u64::saturating_add)
    }

    /// Returns the prompt tokens of the queued requests of each adapter.
    fn adapter_tokens(&self) -> BTreeMap<AdapterKey, u64> {
        let mut tokens = BTreeMap::new();
        for demand in self.requests.values().map(|request| &request.demand) {
            let Some(key) = &demand.adapter else { continue };
            let sum: &mut u64 = tokens.entry(key.clone()).or_default();
            *sum = sum.saturating_add(demand.prompt_tokens);
        }
        tokens
    }

    /// Returns the adapters that queued requests wait for a backend server to load, in queue order.
    pub fn adapter_demand(&self, server: &ServerId) -> Vec<AdapterDemand> {
        let mut demands: Vec<AdapterDemand> = Vec::new();
        let mut requests: Vec<_> =
            self.requests.values().filter(|request| request.awaits_load(server)).collect();
        requests.sort_by_key(|request| request.rank);
        for request in requests {
            let Some(key) = &request.demand.adapter else { continue };
            match demands.iter_mut().find(|demand| demand.key == *key) {
                Some(demand) => {
                    demand.waiting_requests += 1;
                    demand.min_version = demand.min_version.max(request.demand.min_version);
                }
                None => demands.push(AdapterDemand {
                    key: key.clone(),
                    min_version: request.demand.min_version,
                    priority: request.demand.priority,
                    waiting_requests: 1,
                }),
            }
        }
        let copies = self.early_copies.values().filter(|copy| copy.loader == *server);
        for EarlyCopy { demand, .. } in copies {
            if demands.iter().all(|known| known.key != demand.key) {
                demands.push(demand.clone());
            }
        }
        demands
    }
}

/// Returns the rate at which all entries together may send prompts like that of a request.
fn tokens_per_ms(server: &Server, demand: &RequestDemand) -> f64 {
    let prefill_rate = server.prefill_tokens_per_ms(demand);
    server.limit().map_or(prefill_rate, |limit| {
        let requests_per_ms = limit.thousandths() as f64 / 1_000_000.0;
        prefill_rate.min(requests_per_ms * demand.prompt_tokens as f64)
    })
}
