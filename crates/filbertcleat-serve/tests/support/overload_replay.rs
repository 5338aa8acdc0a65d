//! Replays of waves and bursts of several routes at the engines of one entry.

use std::collections::BTreeMap;

use filbertcleat_base::WorkspaceName;
use filbertcleat_serve::AttemptOutcome;
use filbertcleat_serve::EngineSpec;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::RequestDemand;
use filbertcleat_serve::RequestQueue;
use filbertcleat_serve::RequestTimes;
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
use super::prefill_engine::PrefillEngine;
use super::prefill_engine::Shown;
use super::share_replay::SPEED;

const ENGINES: [&str; 3] = ["a", "b", "c"];
const EVENTS: u32 = 40;
/// The period of the wave.
const PERIOD_MS: f64 = 12_000.0;
/// Requests arrive in clumps of this many.
const CLUMP: u32 = 2;
/// The time that a burst lasts, and its factor.
const BURST: (u64, f64) = (6_000, 2.3);
const PASS_MS: u64 = 5;

/// The load of a route.
#[derive(Clone, Copy, Debug)]
pub struct RouteLoad {
    pub name: &'static str,
    pub priority: u8,
    pub objective_ms: u64,
    /// The mean time between two requests.
    pub interval_ms: f64,
    pub prompt_tokens: (u64, u64),
}

/// What is replayed.
#[derive(Clone, Debug)]
pub struct OverloadReplay {
    pub routes: Vec<RouteLoad>,
    /// The part of the mean by which the wave rises and falls.
    pub swing: f64,
    /// The route that bursts, and when.
    pub burst: Option<(usize, u64)>,
    /// The workspaces that send the requests, or 0 if there are none.
    pub workspaces: u32,
    pub seed: u64,
    pub length_ms: u64,
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Played {
    pub route: usize,
    pub at_ms: u64,
    pub prompt_tokens: u64,
    pub sent_ms: Option<u64>,
    /// The time from arrival to the first event.
    pub latency_ms: Option<f64>,
    demand: RequestDemand,
    backlog_ms: f64,
    server: usize,
}

/// The parts of a route's requests, and of its value.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub in_time: f64,
    pub served: f64,
    /// The part of the requests with the fifth below the longest tenth of prompts, and with the longest
    /// tenth, that was served.
    pub served_long: [f64; 2],
}

impl OverloadReplay {
    /// Plays the requests against the decisions of an entry. Panics if a request waits although an
    /// engine has been free for long enough to be sent one.
    pub fn play(&self) -> Vec<Played> {
        let mut played = self.arrivals();
        let names: Vec<(&str, &[&str])> =
            ENGINES.iter().map(|name| (*name, &["x"] as &[&str])).collect();
        let mut fleet = fleet(at(0), &names);
        let mut queue = RequestQueue::new(self.seed);
        let mut engines: Vec<_> = ENGINES.iter().map(|_| PrefillEngine::new(SPEED)).collect();
        let spec = EngineSpec { batch_limit: SPEED.batch as u32, ..engine_spec() };
        let mut queued: BTreeMap<Ticket, usize> = BTreeMap::new();
        let mut last_sent_ms = [0; ENGINES.len()];
        let mut next = 0;
        for now in (0..self.length_ms).step_by(PASS_MS as usize) {
            if now % 50 == 0 {
                report(&mut fleet, &engines, now);
            }
            while let Some(request) = played.get(next).filter(|request| request.at_ms <= now) {
                let deadline = at(request.at_ms + self.wait_max_ms(request));
                let times = RequestTimes { arrived_at: at(request.at_ms), deadline };
                let demand = request.demand.clone();
                queued.insert(queue.push_with_times(at(now), demand, Vec::new(), times), next);
                next += 1;
            }
            for sent in queue.dispatch(at(now), &mut fleet, &local_domain(), |_| Some(&spec)) {
                let number = queued.remove(&sent.ticket).expect("queued");
                let request = &mut played[number];
                request.sent_ms = Some(now);
                request.backlog_ms = sent.backlog_ms;
                let server = ENGINES.iter().position(|name| id(name) == sent.server);
                request.server = server.expect("listed");
                last_sent_ms[request.server] = now;
                engines[request.server].send(number, request.prompt_tokens, EVENTS);
            }
            // The rest of the pacing window, and the longest jitter.
            let is_free =
                |server: usize| engines[server].load() == 0 && now > last_sent_ms[server] + 360;
            let free = (0..ENGINES.len()).find(|server| is_free(*server));
            assert!(
                queued.is_empty() || free.is_none(),
                "a request waits beside {free:?} at {now}"
            );
            queued.retain(|ticket, number| {
                let request = &played[*number];
                let is_kept = now - request.at_ms < self.wait_max_ms(request);
                if !is_kept {
                    queue.remove(at(now), *ticket);
                }
                is_kept
            });
            for (server, engine) in engines.iter_mut().enumerate() {
                for shown in engine.run_until(now as f64) {
                    on_shown(&mut fleet, &mut queue, &mut played, server, shown);
                }
            }
        }
        played
    }

    /// Returns the time after which a request is given up: twice the objective, as at the entry.
    fn wait_max_ms(&self, request: &Played) -> u64 {
        2 * self.routes[request.route].objective_ms
    }

    /// Returns what became of each route's requests, without the last ones, whose time is not over.
    pub fn outcomes(&self, played: &[Played]) -> Vec<Outcome> {
        let of_route = |route: usize| {
            let wait_ms = 2 * self.routes[route].objective_ms + 1_000;
            let counted = played.iter().filter(|request| request.route == route);
            let mut counted: Vec<&Played> =
                counted.filter(|request| request.at_ms + wait_ms < self.length_ms).collect();
            counted.sort_by_key(|request| request.prompt_tokens);
            let served =
                |requests: &[&Played]| part(requests, |request| request.latency_ms.is_some());
            let (fifth, tenth) = (counted.len() * 7 / 10, counted.len() * 9 / 10);
            let objective_ms = self.routes[route].objective_ms as f64;
            Outcome {
                in_time: part(&counted, |it| it.latency_ms.is_some_and(|ms| ms <= objective_ms)),
                served: served(&counted),
                served_long: [served(&counted[fifth..tenth]), served(&counted[tenth..])],
            }
        };
        (0..self.routes.len()).map(of_route).collect()
    }

    fn workspace(&self, random: &mut SmallRng) -> Option<WorkspaceName> {
        let number = (self.workspaces > 0).then(|| random.random_range(0..self.workspaces))?;
        Some(WorkspaceName::new(&format!("workspace-{number}")))
    }

    fn arrivals(&self) -> Vec<Played> {
        let mut arrivals = Vec::new();
        for (route, load) in self.routes.iter().enumerate() {
            let mut random = SmallRng::seed_from_u64(self.seed * 1_000 + route as u64);
            let mut at_ms = 0.0;
            while at_ms < self.length_ms as f64 {
                let burst = self.burst.filter(|(bursting, from_ms)| {
                    *bursting == route && (*from_ms..from_ms + BURST.0).contains(&(at_ms as u64))
                });
                let phase = at_ms / PERIOD_MS * std::f64::consts::TAU;
                let rate = (1.0 + self.swing * phase.sin()) * burst.map_or(1.0, |_| BURST.1);
                let interval = -random.random_range(1e-9..1.0_f64).ln();
                at_ms += interval * load.interval_ms * f64::from(CLUMP) / rate;
                for _ in 0..CLUMP {
                    let (shortest, longest) = load.prompt_tokens;
                    let part = random.random_range(0.0..1.0_f64).powi(3);
                    let tokens = shortest + ((longest - shortest) as f64 * part) as u64;
                    let demand = RequestDemand {
                        route: load.name.into(),
                        latency_objective_ms: load.objective_ms,
                        output_tokens_max: 200,
                        priority: load.priority,
                        workspace: self.workspace(&mut random),
                        ..demand("x", tokens)
                    };
                    arrivals.push(Played {
                        route,
                        at_ms: at_ms as u64,
                        prompt_tokens: tokens,
                        sent_ms: None,
                        latency_ms: None,
                        demand,
                        backlog_ms: 0.0,
                        server: 0,
                    });
                }
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at_ms);
        arrivals
    }
}

fn part(requests: &[&Played], condition: impl Fn(&Played) -> bool) -> f64 {
    let count = requests.iter().filter(|request| condition(request)).count();
    count as f64 / requests.len().max(1) as f64
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

fn on_shown(
    fleet: &mut Fleet,
    queue: &mut RequestQueue,
    played: &mut [Played],
    server: usize,
    shown: Shown,
) {
    let server = id(ENGINES[server]);
    match shown {
        Shown::FirstEvent(number, now_ms) => {
            let request = &mut played[number];
            request.latency_ms = Some(now_ms - request.at_ms as f64);
            let sent_ms = request.sent_ms.expect("sent");
            let wait_ms = (now_ms as u64).saturating_sub(sent_ms);
            let (now, demand) = (at(now_ms as u64), &request.demand);
            fleet.on_response_started(now, &server, demand, wait_ms, request.backlog_ms);
            queue.on_response_started(fleet, demand, wait_ms);
        }
        Shown::Gap(number, now_ms, gap_ms) => {
            let demand = &played[number].demand;
            fleet.on_bytes_received(at(now_ms as u64), &server, demand, gap_ms as u64);
        }
        Shown::End(number, now_ms) => {
            let demand = &played[number].demand;
            fleet.on_ended(at(now_ms as u64), &server, demand, AttemptOutcome::Answered);
        }
    }
}
