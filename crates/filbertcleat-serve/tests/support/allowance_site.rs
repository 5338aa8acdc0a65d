//! Entries and agents that exchange messages about allowances over a faulty network.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;

use filbertcleat_base::MonoTime;
use filbertcleat_serve::Allowance;
use filbertcleat_serve::AllowanceBounds;
use filbertcleat_serve::AllowanceBuckets;
use filbertcleat_serve::AllowanceCharge;
use filbertcleat_serve::AllowanceDecision;
use filbertcleat_serve::AllowanceLedger;
use filbertcleat_serve::AllowanceMessage;
use filbertcleat_serve::AllowanceRefusal;
use filbertcleat_serve::AllowanceTicket;
use filbertcleat_serve::AllowanceUnit;
use filbertcleat_serve::BucketAgents;
use filbertcleat_serve::BucketId;
use filbertcleat_wire::v1;
use filbertcleat_wire::v1::datagram::Update;
use prost::Message;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// The bounds that the settings of deployments give.
pub const BOUNDS: AllowanceBounds =
    AllowanceBounds { window_ms: 8_000, overage: 0.1, slack: 11_000.0 };
/// When the processes of a site start.
pub const START_MS: u64 = 0;
/// When its first requests may come: several windows later.
pub const READY_MS: u64 = 30_000;
/// The bytes of the headers of a datagram.
const HEADER_BYTES: usize = 28;

/// Returns an allowance in tokens.
pub fn allowance(rate_per_s: f64, burst: f64) -> Allowance {
    Allowance { rate_per_s, burst, unit: AllowanceUnit::Tokens { default: 1 } }
}

/// A request that was decided on.
#[derive(Clone, Copy, Debug)]
pub struct Decided {
    pub workspace: u64,
    pub entry: usize,
    pub cost: u64,
    pub arrived_ms: u64,
    pub at_ms: u64,
    /// Why it was refused.
    pub refusal: Option<AllowanceRefusal>,
}

/// A process: its state, when it started, and what arrives while it is frozen.
struct Process<T> {
    state: T,
    started_us: u64,
    is_frozen: bool,
    is_dead: bool,
    held: Vec<Event>,
}

#[derive(Clone, Debug)]
enum Event {
    Arrive { entry: usize, workspace: u64, cost: u64 },
    ToAgent { agent: usize, entry: usize, message: AllowanceMessage },
    ToEntry { entry: usize, agent: usize, message: AllowanceMessage },
    Timer { entry: usize },
}

/// Entries and agents that exchange messages about allowances over a faulty network.
pub struct AllowanceSite {
    now_us: u64,
    rng: SmallRng,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    agents: Vec<Process<AllowanceBuckets>>,
    entries: Vec<Process<AllowanceLedger>>,
    lists: Vec<(Vec<usize>, u64)>,
    timers: Vec<u64>,
    allowances: HashMap<u64, (Allowance, u64)>,
    pending: HashMap<(usize, AllowanceTicket), (u64, u64, u64)>,
    pub cuts: BTreeSet<(usize, usize)>,
    pub loss: f64,
    pub duplicates: f64,
    /// The shortest and the longest time of a datagram on its way.
    pub delay_us: (u64, u64),
    pub decided: Vec<Decided>,
    /// The charges of the requests that may run, by their place in `decided`.
    pub charges: HashMap<usize, AllowanceCharge>,
    pub sent_bytes_by_entry: Vec<usize>,
    pub sent_bytes_by_agent: Vec<usize>,
}

impl AllowanceSite {
    /// Starts agents and entries that have run for several windows.
    pub fn new(seed: u64, entries: usize, agents: usize) -> Self {
        let process = |number: usize| Process {
            state: AllowanceBuckets::new(number as u32 + 1, BOUNDS),
            started_us: START_MS,
            is_frozen: false,
            is_dead: false,
            held: Vec::new(),
        };
        let mut site = Self {
            now_us: 0,
            rng: SmallRng::seed_from_u64(seed),
            events: BTreeMap::new(),
            event_count: 0,
            agents: (0..agents).map(process).collect(),
            entries: Vec::new(),
            lists: vec![((0..agents).collect(), 1); entries],
            timers: vec![u64::MAX; entries],
            allowances: HashMap::new(),
            pending: HashMap::new(),
            cuts: BTreeSet::new(),
            loss: 0.0,
            duplicates: 0.0,
            delay_us: (500, 1_500),
            decided: Vec::new(),
            charges: HashMap::new(),
            sent_bytes_by_entry: vec![0; entries],
            sent_bytes_by_agent: vec![0; agents],
        };
        for number in 0..entries {
            let ledger = site.new_ledger(number);
            let process = Process {
                state: ledger,
                started_us: 0,
                is_frozen: false,
                is_dead: false,
                held: Vec::new(),
            };
            site.entries.push(process);
        }
        site.now_us = READY_MS * 1_000;
        site
    }

    pub fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    /// Puts an allowance into force at all entries.
    pub fn set_allowance(&mut self, workspace: u64, allowance: Allowance, config_version: u64) {
        self.allowances.insert(workspace, (allowance, config_version));
    }

    /// Lets a request arrive.
    pub fn arrive(&mut self, at_ms: u64, entry: usize, workspace: u64, cost: u64) {
        // Requests of the same millisecond come in the order of the calls.
        self.push(at_ms * 1_000, Event::Arrive { entry, workspace, cost });
    }

    /// Runs the site until a time.
    pub fn run_until(&mut self, until_ms: u64) {
        while let Some(((at_us, _), event)) = self.events.first_key_value() {
            if *at_us > until_ms * 1_000 {
                break;
            }
            let (at_us, event) = (*at_us, event.clone());
            self.events.pop_first();
            self.now_us = at_us.max(self.now_us);
            self.handle(event);
        }
        self.now_us = self.now_us.max(until_ms * 1_000);
    }

    pub fn kill_agent(&mut self, agent: usize) {
        self.agents[agent].is_dead = true;
    }

    pub fn restart_agent(&mut self, agent: usize) {
        let id = self.rng.random();
        self.agents[agent] = Process {
            state: AllowanceBuckets::new(id, BOUNDS),
            started_us: self.now_us,
            is_frozen: false,
            is_dead: false,
            held: Vec::new(),
        };
    }

    pub fn set_agent_leaving(&mut self, agent: usize) {
        self.agents[agent].state.set_leaving(true);
    }

    pub fn freeze_agent(&mut self, agent: usize) {
        self.agents[agent].is_frozen = true;
    }

    pub fn thaw_agent(&mut self, agent: usize) {
        self.agents[agent].is_frozen = false;
        for event in std::mem::take(&mut self.agents[agent].held) {
            self.push(self.now_us, event);
        }
    }

    pub fn freeze_entry(&mut self, entry: usize) {
        self.entries[entry].is_frozen = true;
    }

    pub fn thaw_entry(&mut self, entry: usize) {
        self.entries[entry].is_frozen = false;
        for event in std::mem::take(&mut self.entries[entry].held) {
            self.push(self.now_us, event);
        }
    }

    /// Replaces an entry by a new process, which holds no tokens.
    pub fn restart_entry(&mut self, entry: usize) {
        let ledger = self.new_ledger(entry);
        self.pending.retain(|(of, _), _| *of != entry);
        self.timers[entry] = u64::MAX;
        self.entries[entry] = Process {
            state: ledger,
            started_us: self.now_us,
            is_frozen: false,
            is_dead: false,
            held: Vec::new(),
        };
    }

    /// Lets an entry learn of another list of agents.
    pub fn set_list(&mut self, entry: usize, agents: Vec<usize>, version: u64) {
        self.lists[entry] = (agents, version);
        let now = self.local(self.entries[entry].started_us);
        let (agents, version) = self.list_of(entry);
        self.entries[entry].state.set_agents(now, agents, version);
    }

    /// Gives back the tokens of a request that was allowed but has not run.
    pub fn give_back(&mut self, decided: usize) {
        let Some(charge) = self.charges.remove(&decided) else { return };
        let entry = self.decided[decided].entry;
        let now = self.local(self.entries[entry].started_us);
        self.entries[entry].state.give_back(now, charge);
        self.flush(entry);
    }

    /// Returns the agents that hold the main buckets of a workspace, and the standby's last.
    pub fn holders(&self, workspace: u64, count: u8) -> Vec<usize> {
        let agents = BucketAgents::new((0..self.agents.len()).map(agent_ip));
        agents.holders(workspace, count, |_| false).into_iter().map(agent_of).collect()
    }

    /// Returns the cost of the requests that may have run, since `from_ms`.
    pub fn granted_since(&self, from_ms: u64) -> u64 {
        let granted = self.decided.iter().filter(|one| one.refusal.is_none());
        granted.filter(|one| one.at_ms >= from_ms).map(|one| one.cost).sum()
    }

    /// Returns the largest cost of a workspace's requests within a window that begins within a range
    /// of time.
    pub fn worst_window(&self, workspace: u64, from_ms: u64, to_ms: u64) -> u64 {
        let mut runs: Vec<(u64, u64)> = Vec::new();
        for (index, one) in self.decided.iter().enumerate() {
            let is_run = one.refusal.is_none() && self.charges.contains_key(&index);
            if is_run && one.workspace == workspace {
                runs.push((one.at_ms, one.cost));
            }
        }
        runs.sort_unstable();
        let (mut worst, mut sum, mut end) = (0, 0, 0);
        for (at_ms, cost) in &runs {
            while end < runs.len() && runs[end].0 <= at_ms + BOUNDS.window_ms {
                sum += runs[end].1;
                end += 1;
            }
            if (from_ms..=to_ms).contains(at_ms) {
                worst = worst.max(sum);
            }
            sum -= cost;
        }
        worst
    }

    fn new_ledger(&mut self, entry: usize) -> AllowanceLedger {
        let id = self.rng.random();
        let mut ledger = AllowanceLedger::new(id, &BOUNDS);
        let (agents, version) = self.list_of(entry);
        ledger.set_agents(MonoTime::ZERO, agents, version);
        ledger
    }

    fn list_of(&self, entry: usize) -> (BucketAgents, u64) {
        let (agents, version) = &self.lists[entry];
        (BucketAgents::new(agents.iter().map(|agent| agent_ip(*agent))), *version)
    }

    fn local(&self, started_us: u64) -> MonoTime {
        MonoTime::from_us(self.now_us - started_us)
    }

    fn push(&mut self, at_us: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((at_us, self.event_count), event);
    }

    fn handle(&mut self, event: Event) {
        match &event {
            Event::Arrive { entry, .. } | Event::ToEntry { entry, .. } | Event::Timer { entry }
                if self.entries[*entry].is_frozen =>
            {
                self.entries[*entry].held.push(event);
                return;
            }
            Event::ToAgent { agent, .. } if self.agents[*agent].is_frozen => {
                self.agents[*agent].held.push(event);
                return;
            }
            _ => {}
        }
        match event {
            Event::Arrive { entry, workspace, cost } => self.on_arrival(entry, workspace, cost),
            Event::ToAgent { agent, entry, message } => self.on_agent(agent, entry, &message),
            Event::ToEntry { entry, agent, message } => {
                let now = self.local(self.entries[entry].started_us);
                if let AllowanceMessage::Grant(grant) = message {
                    self.entries[entry].state.on_grant(now, agent_ip(agent), &grant);
                }
                self.flush(entry);
            }
            Event::Timer { entry } => {
                self.timers[entry] = u64::MAX;
                let now = self.local(self.entries[entry].started_us);
                self.entries[entry].state.on_timer(now);
                self.flush(entry);
            }
        }
    }

    fn on_arrival(&mut self, entry: usize, workspace: u64, cost: u64) {
        let (allowance, version) = self.allowances[&workspace];
        let now = self.local(self.entries[entry].started_us);
        let arrived_ms = self.now_ms();
        let ledger = &mut self.entries[entry].state;
        match ledger.take(now, workspace, &allowance, version, cost) {
            AllowanceDecision::Granted(charge) => {
                self.decide(entry, workspace, cost, arrived_ms, Ok(charge));
            }
            AllowanceDecision::Refused(refusal) => {
                self.decide(entry, workspace, cost, arrived_ms, Err(refusal));
            }
            AllowanceDecision::Pending(ticket) => {
                self.pending.insert((entry, ticket), (workspace, cost, arrived_ms));
            }
        }
        self.flush(entry);
    }

    fn on_agent(&mut self, agent: usize, entry: usize, message: &AllowanceMessage) {
        let process = &mut self.agents[agent];
        if process.is_dead {
            return;
        }
        let now = MonoTime::from_us(self.now_us - process.started_us);
        match message {
            AllowanceMessage::Request(request) => {
                let grant = process.state.on_request(now, request);
                let message = AllowanceMessage::Grant(grant);
                self.sent_bytes_by_agent[agent] += datagram_bytes(&message);
                self.send(entry, agent, &Event::ToEntry { entry, agent, message });
            }
            AllowanceMessage::Return(given) => process.state.on_return(now, given),
            AllowanceMessage::Move(notice) => process.state.on_moved(notice),
            AllowanceMessage::Grant(_) => panic!("only agents grant"),
        }
    }

    /// Sends what an entry wants to send, and records what it has decided.
    fn flush(&mut self, entry: usize) {
        for (to, message) in self.entries[entry].state.take_messages() {
            let agent = agent_of(to);
            self.sent_bytes_by_entry[entry] += datagram_bytes(&message);
            self.send(entry, agent, &Event::ToAgent { agent, entry, message });
        }
        for (ticket, result) in self.entries[entry].state.take_settled() {
            let (workspace, cost, arrived_ms) =
                self.pending.remove(&(entry, ticket)).expect("it is decided once");
            self.decide(entry, workspace, cost, arrived_ms, result);
        }
        let started_us = self.entries[entry].started_us;
        if let Some(at) = self.entries[entry].state.next_timer() {
            let at_us = (at.as_us() + started_us).max(self.now_us + 1);
            if at_us < self.timers[entry] {
                self.timers[entry] = at_us;
                self.push(at_us, Event::Timer { entry });
            }
        }
    }

    fn send(&mut self, entry: usize, agent: usize, event: &Event) {
        if self.cuts.contains(&(entry, agent)) || self.rng.random_bool(self.loss) {
            return;
        }
        let copies = 1 + u64::from(self.rng.random_bool(self.duplicates));
        for _ in 0..copies {
            let delay_us = self.rng.random_range(self.delay_us.0..=self.delay_us.1);
            self.push(self.now_us + delay_us, event.clone());
        }
    }

    fn decide(
        &mut self,
        entry: usize,
        workspace: u64,
        cost: u64,
        arrived_ms: u64,
        result: Result<AllowanceCharge, AllowanceRefusal>,
    ) {
        let index = self.decided.len();
        let refusal = match result {
            Ok(charge) => {
                assert_eq!(charge.cost(), cost, "a request is charged its cost");
                self.charges.insert(index, charge);
                None
            }
            Err(refusal) => Some(refusal),
        };
        let at_ms = self.now_ms();
        self.decided.push(Decided { workspace, entry, cost, arrived_ms, at_ms, refusal });
    }
}

fn agent_ip(agent: usize) -> IpAddr {
    let [.., high, low] = (agent as u32).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(10, 7, high, low))
}

fn agent_of(ip: IpAddr) -> usize {
    let IpAddr::V4(ip) = ip else { panic!("agents have IPv4 addresses") };
    let [_, _, high, low] = ip.octets();
    usize::from(high) * 256 + usize::from(low)
}

/// Returns the bytes that a message takes on the network.
fn datagram_bytes(message: &AllowanceMessage) -> usize {
    let number = |bucket: BucketId| match bucket {
        BucketId::Standby => 0,
        BucketId::Main(index) => u32::from(index) + 1,
    };
    let update = match message {
        AllowanceMessage::Request(request) => Update::AllowanceRequest(v1::AllowanceRequest {
            workspace: request.workspace,
            bucket: number(request.bucket),
            entry: request.entry,
            sequence: request.sequence,
            needed: request.needed,
            first_cost: request.first_cost,
            expected: request.expected,
            last: request.is_last,
            rate_per_s: request.rate_per_s,
            burst: request.burst,
            config_version: request.config_version,
            known_ms: request.known_ms,
            list_version: request.list_version,
        }),
        AllowanceMessage::Grant(grant) => Update::AllowanceGrant(v1::AllowanceGrant {
            workspace: grant.workspace,
            bucket: number(grant.bucket),
            sequence: grant.sequence,
            agent: grant.agent,
            granted: grant.granted,
            wait_ms: grant.wait_ms,
            retry_after_ms: grant.retry_after_ms,
            leaving: grant.is_leaving,
            moved_to: grant.moved_to.map(|holder| holder.to_string()).unwrap_or_default(),
        }),
        AllowanceMessage::Return(given) => Update::AllowanceReturn(v1::AllowanceReturn {
            workspace: given.workspace,
            bucket: number(given.bucket),
            entry: given.entry,
            agent: given.agent,
            sequence: given.sequence,
            returned: given.returned,
        }),
        AllowanceMessage::Move(notice) => Update::AllowanceMove(v1::AllowanceMove {
            workspace: notice.workspace,
            bucket: number(notice.bucket),
            list_version: notice.list_version,
            holder: notice.holder.to_string(),
        }),
    };
    v1::Datagram { update: Some(update) }.encoded_len() + HEADER_BYTES
}
