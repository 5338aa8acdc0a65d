//! Replays the load of plain servers that many entries share.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use filbertcleat_base::FailureDomain;
use filbertcleat_base::MonoTime;
use filbertcleat_base::mix_hashes;
use filbertcleat_serve::AttemptOutcome;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::ListedServer;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RequestDemand;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::place_plain;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::demand;
use super::id;
use super::listed;

/// Selects the server of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// By the number of open requests, as an entry does that has learned no response times.
    Counts,
    /// By what the entries have learned.
    Learned,
    /// By the time at which each server would finish, as if all work and stalls were known.
    Oracle,
}

/// The load of plain servers.
#[derive(Clone, Copy, Debug)]
pub struct PlainLoad {
    pub entries: usize,
    pub per_s: f64,
    /// The mean work of a request.
    pub work_ms: f64,
    pub objective_ms: u64,
    /// The factors by which the servers are slower. Their number is that of the servers.
    pub slowness: &'static [f64],
    /// The relative swing of the load over a wave.
    pub swing: f64,
    /// The share of the stall intervals in which a server stalls.
    pub stalls: f64,
    pub seconds: u64,
}

/// What the requests after the first quarter of a replay have shown.
#[derive(Debug, PartialEq)]
pub struct PlainResult {
    pub requests: usize,
    pub in_time: f64,
    pub mean_ms: f64,
    pub p99_ms: f64,
    /// The median distance of the estimates from the response times, relative to the latter.
    pub error_median: f64,
    pub error_p90: f64,
    /// The same for an estimate that is the mean work of all requests.
    pub mean_error_median: f64,
    pub mean_error_p90: f64,
    /// The mean of the largest share of one server in the requests of a tenth of a second.
    pub largest_share: f64,
    /// The share of the requests that went to another domain.
    pub crossed: f64,
}

/// A replay in progress.
pub struct PlainReplay {
    load: PlainLoad,
    rule: Rule,
    seed: u64,
    rng: SmallRng,
    fleets: Vec<Fleet>,
    demand: RequestDemand,
    /// When each slot of each server is free, in milliseconds.
    slots: Vec<[f64; PlainReplay::SLOTS]>,
    steps: BinaryHeap<Reverse<(u64, Step, usize)>>,
    sent: Vec<Sent>,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Arrived,
    Answered,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    entry: usize,
    server: usize,
    at: MonoTime,
    work_ms: f64,
    expected_ms: Option<f64>,
    response_ms: f64,
}

impl PlainReplay {
    const SLOTS: usize = 6;
    const DOMAINS: usize = 3;
    const WAVE_MS: f64 = 12_000.0;
    const STALL_MS: f64 = 600.0;
    const STALL_FACTOR: f64 = 2.5;
    /// The share of the arrivals that are several requests at one entry.
    const CLUMP_SHARE: f64 = 0.02;
    const CLUMP: usize = 8;

    /// Plays a load with a rule and a seed.
    pub fn play(load: PlainLoad, rule: Rule, seed: u64) -> PlainResult {
        let mut replay = Self {
            load,
            rule,
            seed,
            rng: SmallRng::seed_from_u64(seed),
            fleets: (0..load.entries)
                .map(|entry| load.fleet(mix_hashes(seed, entry as u64)))
                .collect(),
            demand: RequestDemand {
                latency_objective_ms: load.objective_ms,
                gap_objective_ms: 0,
                ..demand("x", 0)
            },
            slots: vec![[0.0; Self::SLOTS]; load.slowness.len()],
            steps: BinaryHeap::new(),
            sent: Vec::new(),
        };
        let mut next_ms = 0.0;
        while next_ms < load.seconds as f64 * 1_000.0 {
            replay.step_until(next_ms);
            replay.send(next_ms);
            next_ms += replay.next_interval_ms(next_ms);
        }
        replay.step_until(f64::MAX);
        replay.summarize()
    }

    fn next_interval_ms(&mut self, now_ms: f64) -> f64 {
        let wave = (now_ms / Self::WAVE_MS * std::f64::consts::TAU).sin() * self.load.swing;
        let clump_mean = 1.0 + Self::CLUMP_SHARE * (Self::CLUMP as f64 - 1.0);
        let per_ms = self.load.per_s * (1.0 + wave) / 1_000.0 / clump_mean;
        -(1.0 - self.rng.random::<f64>()).ln() / per_ms
    }

    /// Draws work that is spread by a factor of three either way, of which 1% takes five times as
    /// long.
    fn next_work_ms(&mut self) -> f64 {
        let bell: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let tail = if self.rng.random_bool(0.01) { 5.0 } else { 1.0 };
        // The mean of exp(bell / 2) is exp(1 / 8), and the tail adds 4%.
        self.load.work_ms * (bell / 2.0 - 0.125).exp() * tail / 1.04
    }

    fn send(&mut self, now_ms: f64) {
        let count = if self.rng.random_bool(Self::CLUMP_SHARE) { Self::CLUMP } else { 1 };
        let entry = self.rng.random_range(0..self.load.entries);
        let at = MonoTime::from_us((now_ms * 1_000.0) as u64);
        for _ in 0..count {
            let work_ms = self.next_work_ms();
            let server = self.place(entry, at, work_ms);
            let (fleet, id) = (&mut self.fleets[entry], server_id(server));
            let expected_ms = fleet.expected_response_ms(at, &id, &self.demand);
            fleet.on_sent(at, &id, &self.demand);
            let arrives_us = at.as_us() + Self::way_us(entry, server);
            self.steps.push(Reverse((arrives_us, Step::Arrived, self.sent.len())));
            self.sent.push(Sent { entry, server, at, work_ms, expected_ms, response_ms: 0.0 });
        }
    }

    fn place(&self, entry: usize, now: MonoTime, work_ms: f64) -> usize {
        let servers = 0..self.load.slowness.len();
        if self.rule == Rule::Oracle {
            let finish_ms = |server: &usize| {
                let way_ms = Self::way_us(entry, *server) as f64 / 1_000.0;
                let arrives_ms = now.as_us() as f64 / 1_000.0 + way_ms;
                let free_ms = self.slots[*server].iter().copied().fold(f64::MAX, f64::min);
                self.finish_ms(*server, free_ms.max(arrives_ms), work_ms) + way_ms
            };
            let soonest =
                servers.min_by(|left, right| finish_ms(left).total_cmp(&finish_ms(right)));
            return soonest.expect("there are servers");
        }
        let placed = place_plain(now, &self.fleets[entry], &self.demand, &domain(entry), &[]);
        let placed = placed.expect("a server is usable");
        servers.into_iter().find(|server| server_id(*server) == placed).expect("listed")
    }

    fn step_until(&mut self, until_ms: f64) {
        while let Some(Reverse((at_us, step, index))) = self.steps.peek().copied() {
            if at_us as f64 / 1_000.0 > until_ms {
                return;
            }
            self.steps.pop();
            match step {
                Step::Arrived => self.run(at_us, index),
                Step::Answered => self.answer(MonoTime::from_us(at_us), index),
            }
        }
    }

    fn run(&mut self, at_us: u64, index: usize) {
        let Sent { entry, server, work_ms, .. } = self.sent[index];
        let slots = self.slots[server].iter().copied().enumerate();
        let (slot, free_ms) =
            slots.min_by(|left, right| left.1.total_cmp(&right.1)).expect("slots");
        let finish_ms = self.finish_ms(server, free_ms.max(at_us as f64 / 1_000.0), work_ms);
        self.slots[server][slot] = finish_ms;
        let answered_us = (finish_ms * 1_000.0) as u64 + Self::way_us(entry, server);
        self.steps.push(Reverse((answered_us, Step::Answered, index)));
    }

    fn answer(&mut self, now: MonoTime, index: usize) {
        let Sent { entry, server, at, .. } = self.sent[index];
        self.sent[index].response_ms = now.since(at).as_secs_f64() * 1_000.0;
        let (fleet, id) = (&mut self.fleets[entry], server_id(server));
        fleet.on_response_started(now, &id, &self.demand, now.ms_since(at), 0.0);
        if self.rule == Rule::Learned {
            fleet.on_plain_answered(now, &id, &self.demand, at);
        }
        fleet.on_ended(now, &id, &self.demand, AttemptOutcome::Answered);
    }

    /// Returns when a server that begins work at a time has done it. It stalls in some intervals.
    fn finish_ms(&self, server: usize, start_ms: f64, work_ms: f64) -> f64 {
        let (mut at_ms, mut left_ms) = (start_ms, work_ms * self.load.slowness[server]);
        loop {
            let interval = (at_ms / Self::STALL_MS).floor();
            let draw =
                mix_hashes(self.seed ^ server as u64, interval as u64) as f64 / u64::MAX as f64;
            let factor = if draw < self.load.stalls { Self::STALL_FACTOR } else { 1.0 };
            let span_ms = (interval + 1.0) * Self::STALL_MS - at_ms;
            if left_ms * factor <= span_ms {
                return at_ms + left_ms * factor;
            }
            left_ms -= span_ms / factor;
            at_ms += span_ms;
        }
    }

    /// Returns the one-way time between an entry and a server.
    fn way_us(entry: usize, server: usize) -> u64 {
        match (server + Self::DOMAINS - entry % Self::DOMAINS) % Self::DOMAINS {
            0 => 150,
            1 => 500,
            _ => 1_500,
        }
    }

    fn summarize(&self) -> PlainResult {
        let sent = &self.sent[self.sent.len() / 4..];
        let share = |condition: &dyn Fn(&Sent) -> bool| {
            sent.iter().filter(|sent| condition(sent)).count() as f64 / sent.len() as f64
        };
        let errors = sent.iter().filter_map(|sent| {
            Some((sent.expected_ms? - sent.response_ms).abs() / sent.response_ms)
        });
        let errors: Vec<f64> = errors.collect();
        let work_ms = self.load.work_ms;
        let mean_errors: Vec<f64> =
            sent.iter().map(|sent| (work_ms - sent.response_ms).abs() / sent.response_ms).collect();
        let responses: Vec<f64> = sent.iter().map(|sent| sent.response_ms).collect();
        let tenths: Vec<f64> = sent
            .chunk_by(|left, right| left.at.as_ms() / 100 == right.at.as_ms() / 100)
            .map(|chunk| {
                let count = |server| chunk.iter().filter(|sent| sent.server == server).count();
                let largest = (0..self.load.slowness.len()).map(count).max().unwrap_or(0);
                largest as f64 / chunk.len() as f64
            })
            .collect();
        PlainResult {
            requests: sent.len(),
            in_time: share(&|sent| sent.response_ms <= self.load.objective_ms as f64),
            mean_ms: responses.iter().sum::<f64>() / responses.len() as f64,
            p99_ms: quantile(responses, 0.99),
            error_median: quantile(errors.clone(), 0.5),
            error_p90: quantile(errors, 0.9),
            mean_error_median: quantile(mean_errors.clone(), 0.5),
            mean_error_p90: quantile(mean_errors, 0.9),
            largest_share: tenths.iter().sum::<f64>() / tenths.len() as f64,
            crossed: share(&|sent| domain(sent.entry) != domain(sent.server)),
        }
    }
}

impl PlainLoad {
    fn fleet(&self, seed: u64) -> Fleet {
        let mut fleet = Fleet::with_seed(seed);
        for server in 0..self.slowness.len() {
            let name = format!("s{server}");
            let listed = ListedServer {
                domain: domain(server),
                concurrency_limit: PlainReplay::SLOTS as u32,
                ..listed(&name)
            };
            fleet.apply_listing(MonoTime::ZERO, ListingChange::Upserted(listed));
        }
        fleet
    }
}

fn server_id(server: usize) -> ServerId {
    id(&format!("s{server}"))
}

fn domain(number: usize) -> FailureDomain {
    FailureDomain::new(&format!("domain-{}", number % PlainReplay::DOMAINS))
}

fn quantile(mut values: Vec<f64>, share: f64) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    let index = (values.len() as f64 * share) as usize;
    values.get(index).copied().unwrap_or(f64::NAN)
}
