//! Replays of a large, uneven fleet: entries, agents and engines from the cold start on.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt;

use filbertcleat_base::FailureDomain;
use filbertcleat_base::ModelName;
use filbertcleat_base::mix_hashes;
use filbertcleat_serve::AdapterDemand;
use filbertcleat_serve::AdapterKey;
use filbertcleat_serve::AdapterScheduler;
use filbertcleat_serve::AgentUpdate;
use filbertcleat_serve::AttemptOutcome;
use filbertcleat_serve::EngineReport;
use filbertcleat_serve::EngineSpec;
use filbertcleat_serve::EntryUpdate;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::ListedServer;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::ModelSpec;
use filbertcleat_serve::NamedLimit;
use filbertcleat_serve::ObservationPool;
use filbertcleat_serve::OrderKind;
use filbertcleat_serve::PromptTurn;
use filbertcleat_serve::PromptTurnRequest;
use filbertcleat_serve::PromptTurns;
use filbertcleat_serve::RequestDemand;
use filbertcleat_serve::RequestQueue;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::ServiceObservations;
use filbertcleat_serve::Ticket;
use filbertcleat_serve::UpdateRecipients;
use filbertcleat_serve::WaitCause;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::at;
use super::demand;
use super::id;
use super::listed;
use super::prefill_engine::EngineSpeed;
use super::prefill_engine::PrefillEngine;
use super::prefill_engine::Shown;

const ENTRIES: usize = 43;
const DOMAINS: usize = 3;
const DOMAIN_WAY_MS: u64 = 1;
const GAP_OBJECTIVE_MS: f64 = 300.0;
const LONG_WAIT_MS: u64 = 300;
const LOAD_MS: f64 = 288.0;
/// The time to load an adapter that the engine has had before, without the weight store.
const RELOAD_MS: f64 = 60.0;
const ADAPTER_SLOTS: usize = 16;
const SPEED: EngineSpeed = EngineSpeed {
    step_ms: 9.47,
    tokens_per_ms: 19.2,
    chunk_tokens: f64::INFINITY,
    steps_per_event: 3,
    batch: 96,
};
const MEMORY_TOKENS: u64 = 133_445;
/// The share of an adapter falls with this power of its rank. It is assumed, not measured: with it
/// the adapters for which the engines have room get four fifths of the requests.
const POPULARITY_EXPONENT: f64 = 1.1;
const PERIOD_MS: f64 = 11_000.0;
const PHASES: [f64; DOMAINS] = [0.0, 0.21, 0.6];
const SPEED_FACTOR: f64 = 1.3;
/// The interval of the steps of agents.
const STEP_MS: u64 = 3;
const STALLED_PART: f64 = 0.15;
const STALL_FACTOR: f64 = 2.5;
const STALL_MS: u64 = 600;

/// What is replayed. The load, the adapters and the weight store grow with the engines.
#[derive(Clone, Copy, Debug)]
pub struct FleetReplay {
    pub engines: usize,
    pub length_ms: u64,
    pub swing: f64,
    /// The interval at which a part of the engines stalls; 0 without stalls.
    pub stall_interval_ms: u64,
    pub seed: u64,
}

/// What was seen of the requests that arrived in one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Second {
    pub requests: u32,
    pub in_time: u32,
    /// Requests in time whose stream had no gap over the objective.
    pub good: u32,
    pub begun: u32,
    pub given_up: u32,
    /// Streams with a gap over the objective, and what was sent to the engine in the window before.
    pub long_gaps: u32,
    pub gaps_one_adapter: u32,
    pub gaps_stalled: u32,
    pub gaps_one_entry: u32,
    /// Requests that were not sent after 300 ms, by what they waited for.
    pub load_waits: u32,
    pub capacity_waits: u32,
    pub turn_waits: u32,
    pub loads: u32,
    pub copies: u32,
    pub loading_max: usize,
    /// Requests that were sent to an engine in another domain.
    pub crossed: u32,
}

impl Second {
    pub fn long_waits(&self) -> u32 {
        self.load_waits + self.capacity_waits + self.turn_waits
    }

    /// Returns the sum of both.
    pub fn plus(self, other: &Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            in_time: self.in_time + other.in_time,
            good: self.good + other.good,
            begun: self.begun + other.begun,
            given_up: self.given_up + other.given_up,
            long_gaps: self.long_gaps + other.long_gaps,
            gaps_one_adapter: self.gaps_one_adapter + other.gaps_one_adapter,
            gaps_stalled: self.gaps_stalled + other.gaps_stalled,
            gaps_one_entry: self.gaps_one_entry + other.gaps_one_entry,
            load_waits: self.load_waits + other.load_waits,
            capacity_waits: self.capacity_waits + other.capacity_waits,
            turn_waits: self.turn_waits + other.turn_waits,
            loads: self.loads + other.loads,
            copies: self.copies + other.copies,
            loading_max: self.loading_max.max(other.loading_max),
            crossed: self.crossed + other.crossed,
        }
    }
}

impl fmt::Display for Second {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "requests={} in_time={} good={} given_up={} begun={} long_gaps={} gaps_one_adapter={} \
             gaps_stalled={} gaps_one_entry={} waits_load={} waits_capacity={} waits_turn={} \
             loads={} copies={} loading_max={} crossed={}",
            self.requests,
            self.in_time,
            self.good,
            self.given_up,
            self.begun,
            self.long_gaps,
            self.gaps_one_adapter,
            self.gaps_stalled,
            self.gaps_one_entry,
            self.load_waits,
            self.capacity_waits,
            self.turn_waits,
            self.loads,
            self.copies,
            self.loading_max,
            self.crossed,
        )
    }
}

#[derive(Debug)]
enum Event {
    Arrival(usize),
    /// A request has waited for 300 ms.
    WaitCheck(usize),
    GiveUp(usize),
    EntryUpdate(usize, EntryUpdate),
    AgentUpdate(usize, AgentUpdate),
    TurnRequest(usize, PromptTurnRequest),
    TurnReply(usize, PromptTurn),
    Send(usize),
    Delivered(usize),
    Shown(Shown),
    Observations(usize, usize, Vec<ServiceObservations>),
    OthersObservations(usize, Vec<ServiceObservations>),
}

struct Entry {
    fleet: Fleet,
    queue: RequestQueue,
    domain: FailureDomain,
    tickets: HashMap<Ticket, usize>,
    last_updates: Vec<Option<LastUpdate>>,
    sequence: u64,
    passed_at: u64,
    is_woken: bool,
    scanned_at: u64,
    scanned_attempts: u64,
}

struct LastUpdate {
    at: u64,
    adapter_demand: Vec<AdapterDemand>,
    sent_prompt_tokens: u64,
    uses_adapters: bool,
}

struct Agent {
    scheduler: AdapterScheduler,
    recipients: UpdateRecipients,
    turns: PromptTurns,
    observations: ObservationPool,
    engine: PrefillEngine,
    speed: EngineSpeed,
    report: EngineReport,
    had: BTreeSet<AdapterKey>,
    /// The adapters being loaded, and the work that is left at full speed.
    loads: Vec<(AdapterKey, f64, bool)>,
    reported_at: u64,
    last_update: Option<(u64, AgentUpdate)>,
    sequence: u64,
    stalled_until: u64,
    memory_used_tokens: u64,
    /// The prompts of the last second: when, tokens, entry, adapter.
    prompts: Vec<(f64, u64, usize, Option<AdapterKey>)>,
}

struct Request {
    at: u64,
    entry: usize,
    demand: RequestDemand,
    events: u32,
    ticket: Option<Ticket>,
    engine: usize,
    backlog_ms: f64,
    sent_at: Option<u64>,
    is_given_up: bool,
    has_long_gap: bool,
    is_in_time: bool,
}

struct Site {
    replay: FleetReplay,
    spec: EngineSpec,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    requests: Vec<Request>,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    seconds: Vec<Second>,
}

impl FleetReplay {
    /// Plays the replay and returns what was seen of each second's requests.
    pub fn play(self) -> Vec<Second> {
        let mut site = Site::new(self);
        for now in 0..self.length_ms + 2_000 {
            site.tick(now);
        }
        site.seconds
    }

    fn arrivals(&self) -> Vec<Request> {
        let mut random = SmallRng::seed_from_u64(self.seed);
        let scale = self.engines as f64 / 49.0;
        let adapters = (10_000.0 * scale) as usize;
        let mut sums = Vec::with_capacity(adapters);
        let mut sum = 0.0;
        for rank in 0..adapters {
            sum += (rank as f64 + 1.0).powf(-POPULARITY_EXPONENT);
            sums.push(sum);
        }
        let mut requests = Vec::new();
        for entry in 0..ENTRIES {
            let mean_ms = ENTRIES as f64 * 1_000.0 / (321.0 * scale);
            let peak = 1.0 + self.swing;
            let mut at_ms = 0.0;
            loop {
                at_ms += -random.random_range(1e-9..1.0_f64).ln() * mean_ms / peak;
                if at_ms >= self.length_ms as f64 {
                    break;
                }
                let phase = at_ms / PERIOD_MS + PHASES[entry % DOMAINS];
                let level = 1.0 + self.swing * (std::f64::consts::TAU * phase).sin();
                if random.random_range(0.0..peak) > level {
                    continue;
                }
                let drawn = random.random_range(0.0..sum);
                let adapter = sums.partition_point(|sum| *sum < drawn);
                let is_main = random.random_bool(0.65);
                let (tokens, events, objective_ms) =
                    if is_main { (1_460, 57, 1_000) } else { (646, 23, 800) };
                let demand = RequestDemand {
                    route: if is_main { "main" } else { "short" }.into(),
                    latency_objective_ms: objective_ms,
                    output_tokens_max: u64::from(events) * 3,
                    ..demand(&format!("adapter-{adapter}"), tokens)
                };
                requests.push(Request {
                    at: at_ms as u64,
                    entry,
                    demand,
                    events,
                    ticket: None,
                    engine: 0,
                    backlog_ms: 0.0,
                    sent_at: None,
                    is_given_up: false,
                    has_long_gap: false,
                    is_in_time: false,
                });
            }
        }
        requests
    }

    fn weights_at_full_speed(&self) -> f64 {
        (40.0 * self.engines as f64 / 49.0).max(1.0)
    }
}

impl Site {
    fn new(replay: FleetReplay) -> Self {
        let model =
            ModelSpec { name: ModelName::new("base"), weights_mb: 1_000.0, adapter_mb: 10.0 };
        let spec = EngineSpec {
            batch_limit: 96,
            memory_tokens: MEMORY_TOKENS,
            weights_max_mb: 1_000.0 + 10.0 * ADAPTER_SLOTS as f64,
            adapter_slots: ADAPTER_SLOTS,
            models: vec![model],
        };
        let agents: Vec<_> = (0..replay.engines).map(|engine| Agent::new(replay, engine)).collect();
        let entries = (0..ENTRIES).map(|entry| Entry::new(replay.engines, entry)).collect();
        let requests = replay.arrivals();
        let seconds = vec![Second::default(); replay.length_ms.div_ceil(1_000) as usize];
        let mut site = Self {
            replay,
            spec,
            entries,
            agents,
            requests,
            events: BTreeMap::new(),
            next_event: 0,
            seconds,
        };
        for number in 0..site.requests.len() {
            site.push(site.requests[number].at, Event::Arrival(number));
        }
        site
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at_ms, self.next_event), event);
    }

    fn second(&mut self, number: usize) -> &mut Second {
        &mut self.seconds[(self.requests[number].at / 1_000) as usize]
    }

    fn way_ms(entry: usize, engine: usize) -> u64 {
        if entry % DOMAINS == engine % DOMAINS { 0 } else { DOMAIN_WAY_MS }
    }

    fn tick(&mut self, now: u64) {
        self.stall(now);
        while let Some(first) = self.events.first_entry().filter(|first| first.key().0 <= now) {
            let event = first.remove();
            self.handle(now, event);
        }
        for entry in 0..self.entries.len() {
            self.pass(now, entry);
        }
        self.load(now);
        for engine in 0..self.agents.len() {
            for shown in self.agents[engine].engine.run_until(now as f64) {
                let (Shown::FirstEvent(number, at_ms)
                | Shown::Gap(number, at_ms, _)
                | Shown::End(number, at_ms)) = shown;
                let way_ms = Self::way_ms(self.requests[number].entry, engine);
                self.push((at_ms.ceil() as u64 + way_ms).max(now + 1), Event::Shown(shown));
            }
            if now % STEP_MS == engine as u64 % STEP_MS {
                self.step_agent(now, engine);
            }
        }
    }

    /// Lets a part of the engines stall.
    fn stall(&mut self, now: u64) {
        let interval_ms = self.replay.stall_interval_ms;
        for (number, agent) in self.agents.iter_mut().enumerate() {
            if interval_ms > 0 && now % interval_ms == interval_ms - 1 {
                let draw = mix_hashes(self.replay.seed, now * 1_000 + number as u64);
                if (draw as f64) < STALLED_PART * u64::MAX as f64 {
                    agent.stalled_until = now + STALL_MS;
                }
            }
            let factor = if now < agent.stalled_until { STALL_FACTOR } else { 1.0 };
            agent.engine.set_speed(EngineSpeed {
                step_ms: agent.speed.step_ms * factor,
                tokens_per_ms: agent.speed.tokens_per_ms / factor,
                ..agent.speed
            });
        }
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrival(number) => {
                self.second(number).requests += 1;
                let request = &mut self.requests[number];
                let entry = &mut self.entries[request.entry];
                let ticket = entry.queue.push(at(now), request.demand.clone(), Vec::new());
                request.ticket = Some(ticket);
                entry.tickets.insert(ticket, number);
                entry.is_woken = true;
                let wait_max_ms = 2 * request.demand.latency_objective_ms;
                self.push(now + LONG_WAIT_MS, Event::WaitCheck(number));
                self.push(now + wait_max_ms, Event::GiveUp(number));
            }
            Event::WaitCheck(number) => {
                let request = &self.requests[number];
                if request.sent_at.is_some() || request.is_given_up {
                    return;
                }
                let ticket = request.ticket.expect("queued");
                let cause = self.entries[request.entry].queue.wait_cause(ticket);
                let second = self.second(number);
                match cause {
                    Some(WaitCause::AdapterLoad) => second.load_waits += 1,
                    Some(_) => second.capacity_waits += 1,
                    None => second.turn_waits += 1,
                }
            }
            Event::GiveUp(number) => {
                let request = &mut self.requests[number];
                let entry = &mut self.entries[request.entry];
                let ticket = request.ticket.expect("queued");
                if entry.queue.remove(at(now), ticket).is_some() {
                    request.is_given_up = true;
                    entry.tickets.remove(&ticket);
                    self.second(number).given_up += 1;
                }
            }
            Event::EntryUpdate(engine, update) => {
                let address = std::net::SocketAddr::from(([10, 0, 1, update.entry as u8], 1));
                let agent = &mut self.agents[engine];
                agent.recipients.on_entry_update(at(now), address, &update);
                agent.scheduler.apply_entry_update(at(now), update);
            }
            Event::AgentUpdate(entry, update) => {
                self.entries[entry].fleet.apply_update(at(now), update);
                self.entries[entry].is_woken = true;
            }
            Event::TurnRequest(number, turn_request) => {
                let (engine, entry) = (self.requests[number].engine, self.requests[number].entry);
                let turn = self.agents[engine].turns.assign(at(now), turn_request);
                self.push(now + Self::way_ms(entry, engine), Event::TurnReply(number, turn));
            }
            Event::TurnReply(number, turn) => self.on_turn_reply(now, number, turn),
            Event::Send(number) => {
                let request = &mut self.requests[number];
                let sent_at = request.sent_at.replace(now).unwrap_or(now);
                request.backlog_ms = (request.backlog_ms - (now - sent_at) as f64).max(0.0);
                let (entry, engine) = (request.entry, request.engine);
                let has_crossed = entry % DOMAINS != engine % DOMAINS;
                self.second(number).crossed += u32::from(has_crossed);
                self.push(now + Self::way_ms(entry, engine), Event::Delivered(number));
            }
            Event::Delivered(number) => {
                let Request { engine, entry, demand, events, .. } = &self.requests[number];
                let agent = &mut self.agents[*engine];
                agent.engine.now_ms = agent.engine.now_ms.max(now as f64);
                agent.engine.send(number, demand.prompt_tokens, *events);
                agent.memory_used_tokens += demand.memory_tokens();
                agent.prompts.retain(|(at_ms, ..)| now as f64 - at_ms < 1_000.0);
                let adapter = demand.adapter.clone();
                agent.prompts.push((now as f64, demand.prompt_tokens, *entry, adapter));
            }
            Event::Shown(shown) => self.on_shown(now, shown),
            Event::Observations(engine, entry, services) => {
                let agent = &mut self.agents[engine];
                agent.observations.record(at(now), entry as u64 + 1, services);
                let others = agent.observations.others(entry as u64 + 1);
                self.push(
                    now + Self::way_ms(entry, engine),
                    Event::OthersObservations(entry, others),
                );
            }
            Event::OthersObservations(entry, services) => {
                for observations in &services {
                    self.entries[entry].fleet.set_others_observations(observations);
                }
            }
        }
    }

    fn on_turn_reply(&mut self, now: u64, number: usize, turn: PromptTurn) {
        let request = &self.requests[number];
        let entry = &mut self.entries[request.entry];
        if turn.is_full {
            let server = engine_id(request.engine);
            entry.fleet.on_turn_refused(at(now), &server, &request.demand);
        } else if turn.delay_ms > 0 {
            let server = engine_id(request.engine);
            entry.fleet.on_turn_delayed(at(now), &server, turn.delay_ms);
        }
        if turn.is_adapter_hot {
            let Entry { queue, fleet, .. } = entry;
            queue.want_early_copy(at(now), fleet, &request.demand, &self.spec);
        }
        if turn.is_full {
            self.requeue(now, number);
        } else {
            self.push(now + turn.delay_ms, Event::Send(number));
        }
    }

    /// Places a request anew, as the gateway does.
    fn requeue(&mut self, now: u64, number: usize) {
        let request = &mut self.requests[number];
        let entry = &mut self.entries[request.entry];
        if now >= request.at + 2 * request.demand.latency_objective_ms {
            request.is_given_up = true;
            self.second(number).given_up += 1;
            return;
        }
        let ticket = entry.queue.push(at(now), request.demand.clone(), Vec::new());
        request.ticket = Some(ticket);
        entry.tickets.insert(ticket, number);
        entry.is_woken = true;
    }

    fn on_shown(&mut self, now: u64, shown: Shown) {
        let (Shown::FirstEvent(number, _) | Shown::Gap(number, ..) | Shown::End(number, _)) = shown;
        let request = &mut self.requests[number];
        let server = engine_id(request.engine);
        let fleet = &mut self.entries[request.entry].fleet;
        let demand = &request.demand;
        match shown {
            Shown::FirstEvent(..) => {
                let wait_ms = now - request.sent_at.expect("sent");
                fleet.on_response_started(at(now), &server, demand, wait_ms, request.backlog_ms);
                let is_in_time = now - request.at <= demand.latency_objective_ms;
                request.is_in_time = is_in_time;
                let second = self.second(number);
                second.begun += 1;
                second.in_time += u32::from(is_in_time);
            }
            Shown::Gap(_, at_ms, gap_ms) => {
                fleet.on_bytes_received(at(now), &server, demand, gap_ms as u64);
                if gap_ms <= GAP_OBJECTIVE_MS || request.has_long_gap {
                    return;
                }
                request.has_long_gap = true;
                let agent = &self.agents[request.engine];
                let since_ms = at_ms - gap_ms - GAP_OBJECTIVE_MS;
                let recent: Vec<_> =
                    agent.prompts.iter().filter(|item| item.0 >= since_ms).collect();
                let of_adapter = |adapter: &Option<AdapterKey>| -> u64 {
                    recent.iter().filter(|item| item.3 == *adapter).map(|item| item.1).sum()
                };
                let total: u64 = recent.iter().map(|item| item.1).sum();
                let largest = recent.iter().map(|item| of_adapter(&item.3)).max().unwrap_or(0);
                let entries: BTreeSet<_> = recent.iter().map(|item| item.2).collect();
                let is_one_adapter = largest * 2 > total && recent.len() > 1;
                let is_stalled = agent.stalled_until + STALL_MS > now;
                let second = self.second(number);
                second.long_gaps += 1;
                second.gaps_stalled += u32::from(is_stalled);
                second.gaps_one_adapter += u32::from(is_one_adapter);
                second.gaps_one_entry += u32::from(entries.len() == 1);
            }
            Shown::End(..) => {
                fleet.on_ended(at(now), &server, demand, AttemptOutcome::Answered);
                fleet.on_stream_complete(demand, request.events);
                self.agents[request.engine].memory_used_tokens -= demand.memory_tokens();
                let is_good = request.is_in_time && !request.has_long_gap;
                self.second(number).good += u32::from(is_good);
            }
        }
    }

    /// Dispatches an entry's requests and sends its updates, as the gateway does.
    fn pass(&mut self, now: u64, number: usize) {
        let entry = &mut self.entries[number];
        let interval_ms = match (entry.queue.has_jittered_requests(), entry.queue.is_empty()) {
            (true, _) => 3,
            (false, false) => 15,
            (false, true) => 50,
        };
        // Wake-ups within 3 ms are combined, to limit the time that the replay takes.
        let is_woken = entry.is_woken && !entry.queue.is_empty() && now >= entry.passed_at + 3;
        if !is_woken && now < entry.passed_at + interval_ms {
            return;
        }
        entry.is_woken = false;
        entry.passed_at = now;
        let Entry { fleet, queue, domain, .. } = entry;
        let mut events = Vec::new();
        for sent in queue.dispatch(at(now), fleet, domain, |_| Some(&self.spec)) {
            let request_number = entry.tickets.remove(&sent.ticket).expect("a queued request");
            let request = &mut self.requests[request_number];
            request.engine = engine_number(&sent.server);
            request.backlog_ms = sent.backlog_ms;
            let server = entry.fleet.server(&sent.server).expect("a listed server");
            let way_ms = Self::way_ms(number, request.engine);
            events.push(match server.turn_request(at(now), &request.demand) {
                Some(turn) => (now + way_ms, Event::TurnRequest(request_number, turn)),
                None => (now, Event::Send(request_number)),
            });
        }
        if now / 300 != (now + 15) / 300 && entry.fleet.agents_assign_turns(at(now)) {
            let receiver = (now / 300) as usize % 3 % self.agents.len();
            let services = entry.fleet.own_observations().collect();
            events.push((now + 1, Event::Observations(receiver, number, services)));
        }
        let attempts = entry.fleet.total_attempts();
        let is_scan_due = !entry.queue.is_empty()
            || entry.scanned_attempts != attempts
            || now >= entry.scanned_at + 50;
        let engines = if is_scan_due { self.agents.len() } else { 0 };
        if is_scan_due {
            (entry.scanned_at, entry.scanned_attempts) = (now, attempts);
        }
        for engine in 0..engines {
            if let Some(update) = entry.due_update(now, number, engine, &self.spec) {
                let way_ms = Self::way_ms(number, engine);
                events.push((now + way_ms, Event::EntryUpdate(engine, update)));
            }
        }
        for (at_ms, event) in events {
            // Messages that arrive at once are handled in the next millisecond.
            self.push(at_ms.max(now + 1), event);
        }
    }

    /// Advances the loads, which share the weight store.
    fn load(&mut self, _now: u64) {
        let from_store = |agent: &Agent| agent.loads.iter().filter(|load| load.2).count();
        let loading: usize = self.agents.iter().map(from_store).sum();
        let speed = (self.replay.weights_at_full_speed() / loading.max(1) as f64).min(1.0);
        for agent in &mut self.agents {
            let Agent { loads, report, had, .. } = agent;
            loads.retain_mut(|(key, left_ms, is_from_store)| {
                *left_ms -= if *is_from_store { speed } else { 1.0 };
                if *left_ms > 0.0 {
                    return true;
                }
                report.loading_adapters.retain(|(loading, _)| loading != key);
                report.loaded_adapters.push((key.clone(), 1));
                had.insert(key.clone());
                false
            });
        }
    }

    fn step_agent(&mut self, now: u64, engine: usize) {
        let second = (now / 1_000) as usize;
        let loading: usize = self.agents.iter().map(|agent| agent.loads.len()).sum();
        if let Some(second) = self.seconds.get_mut(second) {
            second.loading_max = second.loading_max.max(loading);
        }
        let agent = &mut self.agents[engine];
        let interval_ms = if agent.scheduler.needs_frequent_reports(at(now)) { 25 } else { 100 };
        if agent.reported_at == 0 || now >= agent.reported_at + interval_ms {
            agent.reported_at = now.max(1);
            agent.report.running_requests = agent.engine.load() as u32;
            agent.report.memory_used_tokens = agent.memory_used_tokens;
            agent.scheduler.apply_report(at(now), agent.report.clone());
        }
        let delay_ms = agent.recipients.announcement_delay_ms();
        let order = agent.scheduler.next_order(at(now), delay_ms);
        if let Some(order) = order {
            let is_done = agent.execute(&order.kind);
            agent.scheduler.on_accepted(at(now), &order, is_done);
            if let OrderKind::LoadAdapter(key, _) = &order.kind {
                let has = |agent: &Agent| {
                    let report = &agent.report;
                    let mut known = report.loaded_adapters.iter().chain(&report.loading_adapters);
                    known.any(|(known, _)| known == key)
                };
                let holders = self.agents.iter().filter(|agent| has(agent)).count();
                if let Some(second) = self.seconds.get_mut(second) {
                    second.loads += 1;
                    second.copies += u32::from(holders > 1);
                }
            }
        }
        self.send_agent_updates(now, engine);
    }

    fn send_agent_updates(&mut self, now: u64, engine: usize) {
        let agent = &mut self.agents[engine];
        let Some(update) = agent.update(now, engine) else { return };
        let is_due = agent.last_update.as_ref().is_none_or(|(sent_at, last)| {
            last.adapters != update.adapters
                || last.others_prompt_tokens < update.others_prompt_tokens
                || (*last != update && now - sent_at >= 100)
                || now - sent_at >= 400
        });
        if is_due {
            agent.last_update = Some((now, update.clone()));
        }
        agent.sequence += 1;
        for (_, entry) in agent.recipients.due_recipients(at(now), is_due) {
            let agent = &self.agents[engine];
            let update = AgentUpdate {
                sequence: agent.sequence,
                others_prompt_tokens: agent.scheduler.others_prompt_tokens(at(now), entry),
                others_total_tokens: agent.scheduler.others_total_tokens(entry),
                ..update.clone()
            };
            let number = entry as usize - 1;
            self.push(now + 1 + Self::way_ms(number, engine), Event::AgentUpdate(number, update));
        }
    }
}

impl Entry {
    fn new(engines: usize, number: usize) -> Self {
        let mut fleet = Fleet::with_seed(number as u64 + 1);
        for engine in 0..engines {
            let server = ListedServer {
                address: std::net::SocketAddr::from(([10, 0, 0, engine as u8], 1)),
                domain: domain(engine),
                concurrency_limit: 96,
                ..listed(engine_id(engine).as_str())
            };
            fleet.apply_listing(at(0), ListingChange::Upserted(server));
        }
        Self {
            fleet,
            queue: RequestQueue::new(number as u64 + 1),
            domain: domain(number),
            tickets: HashMap::new(),
            last_updates: (0..engines).map(|_| None).collect(),
            sequence: 0,
            passed_at: 0,
            is_woken: true,
            scanned_at: 0,
            scanned_attempts: 0,
        }
    }

    fn due_update(
        &mut self,
        now: u64,
        number: usize,
        engine: usize,
        spec: &EngineSpec,
    ) -> Option<EntryUpdate> {
        let server = self.fleet.server(&engine_id(engine))?;
        let adapter_demand = self.queue.adapter_demand(&server.listed.id);
        let sent_prompt_tokens = server.sent_prompt_tokens();
        let uses_adapters = server.adapters_in_use().next().is_some();
        if let Some(last) = &self.last_updates[engine] {
            let has_changed = last.adapter_demand != adapter_demand
                || last.sent_prompt_tokens != sent_prompt_tokens;
            let is_using = last.uses_adapters || uses_adapters || !adapter_demand.is_empty();
            let interval_ms = if is_using { 400 } else { 900 };
            if !has_changed && now - last.at < interval_ms {
                return None;
            }
        }
        self.sequence += 1;
        self.last_updates[engine] = Some(LastUpdate {
            at: now,
            adapter_demand: adapter_demand.clone(),
            sent_prompt_tokens,
            uses_adapters,
        });
        Some(EntryUpdate {
            entry: number as u64 + 1,
            sequence: self.sequence,
            server: server.listed.id.clone(),
            adapter_demand,
            adapters_in_use: server.adapters_in_use().map(|(key, n)| (key.clone(), n)).collect(),
            engine_spec: Some(spec.clone()),
            sent_prompt_tokens,
            ..EntryUpdate::default()
        })
    }
}

impl Agent {
    fn new(replay: FleetReplay, number: usize) -> Self {
        let draw = mix_hashes(replay.seed, number as u64) as f64 / u64::MAX as f64;
        // The slowest engine is slower than the fastest by the factor; the mean is as measured.
        let factor = SPEED_FACTOR.powf(draw - 0.5);
        let speed = EngineSpeed {
            step_ms: SPEED.step_ms * factor,
            tokens_per_ms: SPEED.tokens_per_ms / factor,
            ..SPEED
        };
        let report = EngineReport {
            server: engine_id(number),
            started_unix_ms: 1,
            order_count: 0,
            is_changing_model: false,
            loaded_models: vec![ModelName::new("base")],
            loading_models: Vec::new(),
            loaded_adapters: Vec::new(),
            loading_adapters: Vec::new(),
            running_requests: 0,
            waiting_requests: 0,
            memory_used_tokens: 0,
            memory_tokens: MEMORY_TOKENS,
        };
        Self {
            scheduler: AdapterScheduler::new(number as u64),
            recipients: UpdateRecipients::default(),
            turns: PromptTurns::default(),
            observations: ObservationPool::default(),
            engine: PrefillEngine::new(speed),
            speed,
            report,
            had: BTreeSet::new(),
            loads: Vec::new(),
            reported_at: 0,
            last_update: None,
            sequence: 0,
            stalled_until: 0,
            memory_used_tokens: 0,
            prompts: Vec::new(),
        }
    }

    /// Executes an order. Returns whether it is complete.
    fn execute(&mut self, order: &OrderKind) -> bool {
        self.report.order_count += 1;
        match order {
            OrderKind::LoadAdapter(key, version) => {
                self.report.loading_adapters.push((key.clone(), *version));
                let is_from_store = !self.had.contains(key);
                let work_ms = if is_from_store { LOAD_MS } else { RELOAD_MS };
                self.loads.push((key.clone(), work_ms, is_from_store));
                false
            }
            OrderKind::UnloadAdapter(key) => {
                self.report.loaded_adapters.retain(|(loaded, _)| loaded != key);
                true
            }
            OrderKind::LoadModel(_) | OrderKind::UnloadModel(_) => panic!("one model"),
        }
    }

    fn update(&self, now: u64, number: usize) -> Option<AgentUpdate> {
        let report = self.scheduler.engine_report()?;
        Some(AgentUpdate {
            agent: number as u64,
            server: report.server.clone(),
            sequence: 0,
            loading_models: Vec::new(),
            available_models: self.scheduler.available_models(),
            adapters: self.scheduler.adapters(),
            running_requests: report.running_requests,
            waiting_requests: report.waiting_requests,
            memory_used_tokens: report.memory_used_tokens,
            memory_tokens: report.memory_tokens,
            others_prompt_tokens: self.scheduler.others_prompt_tokens(at(now), u64::MAX),
            others_total_tokens: 0,
            is_leaving: false,
            limit: NamedLimit::Absent,
            live_entries: self.scheduler.live_entries(at(now)) as u32,
        })
    }
}

fn domain(number: usize) -> FailureDomain {
    FailureDomain::new(format!("domain-{}", number % DOMAINS).as_str())
}

fn engine_id(number: usize) -> ServerId {
    id(&format!("engine-{number}"))
}

fn engine_number(server: &ServerId) -> usize {
    server.as_str().rsplit('-').next().and_then(|part| part.parse().ok()).expect("a number")
}
