//! Replays of workspaces that share the engines of one entry.

use std::collections::VecDeque;

use filbertcleat_base::WorkspaceName;
use filbertcleat_serve::AttemptOutcome;
use filbertcleat_serve::EngineSpec;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::RequestDemand;
use filbertcleat_serve::RequestQueue;
use filbertcleat_serve::Ticket;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::agent_update;
use super::at;
use super::demand;
use super::engine_spec;
use super::fleet;
use super::id;
use super::local_domain;
use super::prefill_engine::EngineSpeed;
use super::prefill_engine::PrefillEngine;
use super::prefill_engine::Shown;

/// The speed of the replayed engines.
pub const SPEED: EngineSpeed = EngineSpeed {
    step_ms: 5.2,
    tokens_per_ms: 38.4,
    chunk_tokens: 1_024.0,
    steps_per_event: 5,
    batch: 64,
};
const ENGINES: [&str; 3] = ["a", "b", "c"];
const EVENTS: u32 = 40;
const OUTPUT_TOKENS: u64 = 200;
const LATENCY_OBJECTIVE_MS: u64 = 1_000;
/// Requests are given up after twice the objective, as the entry does.
const WAIT_MAX_MS: u64 = 2 * LATENCY_OBJECTIVE_MS;
/// The interval between two passes over the queue.
const PASS_MS: u64 = 5;

/// The requests that a workspace sends.
#[derive(Clone, Copy, Debug)]
pub struct Sender {
    /// The mean time between two requests.
    pub interval_ms: f64,
    /// The shortest and the longest prompt.
    pub prompt_tokens: (u64, u64),
    /// Whether all intervals are equal.
    pub is_steady: bool,
}

/// What is replayed.
#[derive(Clone, Debug)]
pub struct Replay {
    /// One workspace each.
    pub senders: Vec<Sender>,
    /// Whether requests carry their workspace; without it the queue serves by arrival.
    pub names_workspaces: bool,
    /// A period whose requests all arrive at its end.
    pub outage_ms: Option<(u64, u64)>,
    pub seed: u64,
    /// Requests that arrive before this time are not counted.
    pub counted_from_ms: u64,
    /// Requests that are sent after this time count as refused.
    pub counted_until_ms: u64,
    pub length_ms: u64,
}

/// What became of a workspace's requests.
#[derive(Clone, Debug, Default)]
pub struct Share {
    pub offered: u32,
    pub served: u32,
    pub offered_ms: f64,
    pub served_ms: f64,
    pub latencies_ms: Vec<f64>,
    /// The requests that were given up although the workspace asked for no more than its share in the
    /// time for which they may wait.
    pub wrongly_refused: u32,
}

/// A request of a workspace.
#[derive(Debug)]
struct Arrival {
    workspace: usize,
    at_ms: u64,
    demand: RequestDemand,
    sent_ms: Option<u64>,
    first_event_ms: Option<f64>,
    backlog_ms: f64,
    server: usize,
}

impl Share {
    /// Returns the part of the requests that was served.
    pub fn served_part(&self) -> f64 {
        f64::from(self.served) / f64::from(self.offered.max(1))
    }

    /// Returns the mean time from arrival to the first event. That of a request which was given up
    /// is the time after which it was.
    pub fn mean_latency_ms(&self) -> f64 {
        self.latencies_ms.iter().sum::<f64>() / self.latencies_ms.len().max(1) as f64
    }
}

impl Arrival {
    /// Returns the time that the request takes of an engine.
    fn engine_ms(&self) -> f64 {
        self.demand.prompt_tokens as f64 / SPEED.tokens_per_ms
            + OUTPUT_TOKENS as f64 * SPEED.step_ms / SPEED.batch as f64
    }
}

/// Returns each workspace's engine time as a part of what it is entitled to: all that it asked for,
/// or an equal share if that is less.
pub fn satisfaction(shares: &[Share]) -> Vec<f64> {
    let served_ms: f64 = shares.iter().map(|share| share.served_ms).sum();
    let (mut low, mut high) = (0.0, served_ms);
    for _ in 0..60 {
        let level = f64::midpoint(low, high);
        let given: f64 = shares.iter().map(|share| share.offered_ms.min(level)).sum();
        if given < served_ms { low = level } else { high = level }
    }
    shares.iter().map(|share| share.served_ms / share.offered_ms.min(high).max(1e-9)).collect()
}

/// Returns the mean of the lowest tenth, in parts of the mean of all.
pub fn worst_tenth(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let count = sorted.len().div_ceil(10);
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
    mean(&sorted[..count]) / mean(&sorted)
}

impl Replay {
    /// Plays the requests against the decisions of an entry.
    pub fn play(&self) -> Vec<Share> {
        let mut arrivals = self.arrivals();
        let names: Vec<(&str, &[&str])> =
            ENGINES.iter().map(|name| (*name, &["x"] as &[&str])).collect();
        let mut fleet = fleet(at(0), &names);
        let mut queue = RequestQueue::new(self.seed);
        let mut engines: Vec<_> = ENGINES.iter().map(|_| PrefillEngine::new(SPEED)).collect();
        let spec = EngineSpec { batch_limit: SPEED.batch as u32, ..engine_spec() };
        let mut queued: VecDeque<(Ticket, usize)> = VecDeque::new();
        let mut next = 0;
        for now in (0..self.length_ms).step_by(PASS_MS as usize) {
            if now % 50 == 0 {
                report(&mut fleet, &engines, now);
            }
            while let Some(arrival) = arrivals.get(next).filter(|arrival| arrival.at_ms <= now) {
                let ticket = queue.push(at(now), arrival.demand.clone(), Vec::new());
                queued.push_back((ticket, next));
                next += 1;
            }
            for sent in queue.dispatch(at(now), &mut fleet, &local_domain(), |_| Some(&spec)) {
                let position = queued.iter().position(|(ticket, _)| *ticket == sent.ticket);
                let (_, number) = queued.remove(position.expect("queued")).expect("queued");
                let server = ENGINES.iter().position(|name| id(name) == sent.server);
                let arrival = &mut arrivals[number];
                arrival.sent_ms = Some(now);
                arrival.backlog_ms = sent.backlog_ms;
                arrival.server = server.expect("listed");
                engines[arrival.server].send(number, arrival.demand.prompt_tokens, EVENTS);
            }
            queued.retain(|(ticket, number)| {
                let is_kept = now - arrivals[*number].at_ms < WAIT_MAX_MS;
                if !is_kept {
                    queue.remove(at(now), *ticket);
                }
                is_kept
            });
            for engine in &mut engines {
                for shown in engine.run_until(now as f64) {
                    on_shown(&mut fleet, &mut arrivals, shown);
                }
            }
        }
        self.shares(&arrivals)
    }

    /// Returns the requests in the order of their arrival. Those of one workspace do not depend on
    /// the others.
    fn arrivals(&self) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        for (workspace, sender) in self.senders.iter().enumerate() {
            let mut random = SmallRng::seed_from_u64(self.seed * 1_000 + workspace as u64);
            let mut at_ms = 0.0;
            loop {
                let interval = -random.random_range(1e-9..1.0_f64).ln();
                at_ms += match (sender.is_steady, at_ms > 0.0) {
                    (true, true) => sender.interval_ms,
                    (true, false) => interval % 1.0 * sender.interval_ms,
                    (false, _) => interval * sender.interval_ms,
                };
                let (shortest, longest) = sender.prompt_tokens;
                let part = random.random_range(0.0..1.0_f64).powi(3);
                let tokens = shortest + ((longest - shortest) as f64 * part) as u64;
                if at_ms >= self.length_ms as f64 {
                    break;
                }
                let name = format!("workspace-{workspace}");
                let demand = RequestDemand {
                    latency_objective_ms: LATENCY_OBJECTIVE_MS,
                    output_tokens_max: OUTPUT_TOKENS,
                    workspace: self.names_workspaces.then(|| WorkspaceName::new(&name)),
                    ..demand("x", tokens)
                };
                let late_ms =
                    self.outage_ms.filter(|(from, to)| (*from..*to).contains(&(at_ms as u64)));
                arrivals.push(Arrival {
                    workspace,
                    at_ms: late_ms.map_or(at_ms as u64, |(_, to)| to),
                    demand,
                    sent_ms: None,
                    first_event_ms: None,
                    backlog_ms: 0.0,
                    server: 0,
                });
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at_ms);
        arrivals
    }

    fn shares(&self, arrivals: &[Arrival]) -> Vec<Share> {
        let mut shares = vec![Share::default(); self.senders.len()];
        let counted = self.counted_from_ms..self.length_ms - WAIT_MAX_MS;
        for arrival in arrivals.iter().filter(|arrival| counted.contains(&arrival.at_ms)) {
            let share = &mut shares[arrival.workspace];
            let engine_ms = arrival.engine_ms();
            let latency_ms = arrival.first_event_ms.map(|at_ms| at_ms - arrival.at_ms as f64);
            share.offered += 1;
            share.offered_ms += engine_ms;
            share.latencies_ms.push(latency_ms.unwrap_or(WAIT_MAX_MS as f64));
            if arrival.sent_ms.is_some_and(|sent_ms| sent_ms < self.counted_until_ms) {
                share.served += 1;
                share.served_ms += engine_ms;
            }
        }
        let served_ms: f64 = shares.iter().map(|share| share.served_ms).sum();
        let wait_parts = WAIT_MAX_MS as f64 / (counted.end - counted.start) as f64;
        let share_ms = served_ms / shares.len() as f64 * wait_parts;
        for refused in arrivals
            .iter()
            .filter(|arrival| counted.contains(&arrival.at_ms) && arrival.sent_ms.is_none())
        {
            let since = refused.at_ms.saturating_sub(WAIT_MAX_MS)..=refused.at_ms;
            let asked_ms: f64 = arrivals
                .iter()
                .filter(|other| {
                    other.workspace == refused.workspace && since.contains(&other.at_ms)
                })
                .map(Arrival::engine_ms)
                .sum();
            shares[refused.workspace].wrongly_refused += u32::from(asked_ms <= share_ms);
        }
        shares
    }
}

fn report(fleet: &mut Fleet, engines: &[PrefillEngine], now: u64) {
    for (name, engine) in ENGINES.iter().zip(engines) {
        let mut update = agent_update(name, now + 2, &["x"]);
        update.running_requests = engine.load() as u32;
        update.memory_tokens = 10_000_000;
        update.live_entries = 1;
        fleet.apply_update(at(now), update);
    }
}

fn on_shown(fleet: &mut Fleet, arrivals: &mut [Arrival], shown: Shown) {
    let (number, now_ms) = match shown {
        Shown::FirstEvent(number, now_ms)
        | Shown::Gap(number, now_ms, _)
        | Shown::End(number, now_ms) => (number, now_ms),
    };
    if matches!(shown, Shown::FirstEvent(..)) {
        arrivals[number].first_event_ms = Some(now_ms);
    }
    let Arrival { demand, sent_ms, backlog_ms, server, .. } = &arrivals[number];
    let (now, server) = (at(now_ms as u64), id(ENGINES[*server]));
    match shown {
        Shown::FirstEvent(..) => {
            let wait_ms = now_ms as u64 - sent_ms.expect("sent").min(now_ms as u64);
            fleet.on_response_started(now, &server, demand, wait_ms, *backlog_ms);
        }
        Shown::Gap(_, _, gap_ms) => fleet.on_bytes_received(now, &server, demand, gap_ms as u64),
        Shown::End(..) => fleet.on_ended(now, &server, demand, AttemptOutcome::Answered),
    }
}
