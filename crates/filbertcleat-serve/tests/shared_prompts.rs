//! Placement of prompts by the shared parts that engines have recently read.

mod support;

use std::collections::VecDeque;

use filbertcleat_serve::AttemptOutcome;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::Placement;
use filbertcleat_serve::PromptPart;
use filbertcleat_serve::PromptPrefix;
use filbertcleat_serve::QueueWait;
use filbertcleat_serve::RequestDemand;
use filbertcleat_serve::place_engine;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::support::agent_update;
use self::support::at;
use self::support::demand;
use self::support::engine_spec;
use self::support::id;
use self::support::key;
use self::support::listed;
use self::support::local_domain;

const ENGINES: usize = 4;
const PARTS: u64 = 16;
const PART_TOKENS: u64 = 1_500;
const OWN_TOKENS: u64 = 500;
/// The memory for six prompts.
const MEMORY_TOKENS: u64 = 6 * (PART_TOKENS + OWN_TOKENS);

fn request(adapter: &str, part: Option<u64>) -> RequestDemand {
    let demand = demand(adapter, PART_TOKENS + OWN_TOKENS);
    let parts = part.map(|part| (PromptPart::new(part), PART_TOKENS));
    let prefixes = PromptPrefix::all(demand.model.as_ref(), demand.adapter.as_ref(), parts);
    RequestDemand { prefixes: prefixes.collect(), gap_objective_ms: 0, ..demand }
}

/// Engines that read prompts one after the other, 20 tokens a millisecond, and keep the shared parts
/// of the last ones.
struct Engines {
    fleet: Fleet,
    free_at_ms: [u64; ENGINES],
    kept: [VecDeque<u64>; ENGINES],
    kept_max: usize,
    /// The ends of the prompts being read: when, where, the request, when it was sent, the backlog.
    reading: Vec<(u64, usize, RequestDemand, u64, f64)>,
}

impl Engines {
    fn new(kept_max: usize) -> Self {
        let mut fleet = Fleet::default();
        for engine in 0..ENGINES {
            let name = format!("e{engine}");
            fleet.apply_listing(at(0), ListingChange::Upserted(listed(&name)));
            let update = agent_update(&name, 1, &["x"]);
            fleet.apply_update(at(0), update);
        }
        let kept = std::array::from_fn(|_| VecDeque::new());
        Self { fleet, free_at_ms: [0; ENGINES], kept, kept_max, reading: Vec::new() }
    }

    /// Places requests whose part is known to the entry or not, and returns their mean time to the
    /// first event in the second half of the replay.
    fn play(&mut self, is_part_known: bool, seed: u64) -> f64 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut waits_ms, mut next_ms) = (Vec::new(), 0.0);
        for now in 0..120_000 {
            self.finish(now);
            if now % 500 == 0 {
                for engine in 0..ENGINES {
                    let mut update = agent_update(&format!("e{engine}"), now + 2, &["x"]);
                    update.memory_tokens = MEMORY_TOKENS;
                    self.fleet.apply_update(at(now), update);
                }
            }
            while next_ms <= now as f64 {
                next_ms += -(1.0 - rng.random::<f64>()).ln() * 40.0;
                let part = rng.random_range(0..PARTS);
                let demand = request("x", is_part_known.then_some(part));
                let engine = self.place(now, &demand);
                let first_event_ms = self.send(now, engine, demand, part);
                if now > 60_000 {
                    waits_ms.push(first_event_ms as f64);
                }
            }
        }
        waits_ms.iter().sum::<f64>() / waits_ms.len() as f64
    }

    fn place(&self, now: u64, demand: &RequestDemand) -> usize {
        let (spec, wait) = (engine_spec(), QueueWait::default());
        match place_engine(at(now), &self.fleet, &spec, demand, &local_domain(), &[], wait) {
            Placement::Send(server) | Placement::AwaitCapacity(Some(server)) => {
                server.as_str()[1..].parse().expect("a number")
            }
            other => panic!("{other:?}"),
        }
    }

    fn send(&mut self, now: u64, engine: usize, demand: RequestDemand, part: u64) -> u64 {
        let kept = &mut self.kept[engine];
        let known = kept.iter().position(|known| *known == part);
        let is_kept = known.and_then(|index| kept.remove(index)).is_some();
        kept.push_back(part);
        while kept.len() > self.kept_max {
            kept.pop_front();
        }
        let tokens = OWN_TOKENS + if is_kept { 0 } else { PART_TOKENS };
        let ends_at_ms = self.free_at_ms[engine].max(now) + 10 + tokens / 20;
        self.free_at_ms[engine] = ends_at_ms;
        let backlog_ms = self.fleet.on_sent(at(now), &id(&format!("e{engine}")), &demand);
        self.reading.push((ends_at_ms, engine, demand, now, backlog_ms));
        ends_at_ms - now
    }

    fn finish(&mut self, now: u64) {
        let fleet = &mut self.fleet;
        self.reading.retain(|(ends_at_ms, engine, demand, sent_at_ms, backlog_ms)| {
            if *ends_at_ms <= now {
                let (server, wait_ms) = (id(&format!("e{engine}")), now - sent_at_ms);
                fleet.on_response_started(at(now), &server, demand, wait_ms, *backlog_ms);
                fleet.on_ended(at(now), &server, demand, AttemptOutcome::Answered);
            }
            *ends_at_ms > now
        });
    }
}

/// Guards against prompts that are placed without regard to what engines have read. Each engine
/// keeps six of sixteen parts, so that the four of them can keep all parts between them.
#[test]
fn kept_parts_are_used() {
    for seed in [1, 2] {
        let unknown_ms = Engines::new(6).play(false, seed);
        let known_ms = Engines::new(6).play(true, seed);
        println!("mean first event: unknown {unknown_ms:.1} ms, known {known_ms:.1} ms");

        assert!(known_ms < unknown_ms, "{known_ms} ms, with unknown parts {unknown_ms} ms");
    }
}

/// Guards against parts that decide the placement at engines that keep nothing: the entry learns
/// that they read every prompt whole, and places as without parts.
#[test]
fn nothing_kept_as_before() {
    for seed in [1, 2] {
        let unknown_ms = Engines::new(0).play(false, seed);
        let known_ms = Engines::new(0).play(true, seed);
        println!("nothing kept: unknown {unknown_ms:.1} ms, known {known_ms:.1} ms");

        assert!((known_ms - unknown_ms).abs() < 1e-9, "{known_ms} ms, before {unknown_ms} ms");
    }
}

/// Guards against parts that count as kept for another adapter, or without those that precede them.
#[test]
fn prefixes_depend_on_context() {
    let hashes = |adapter: &str, parts: &[u64]| -> Vec<u64> {
        let parts = parts.iter().map(|part| (PromptPart::new(*part), 10));
        PromptPrefix::all(None, Some(&key(adapter)), parts).map(|prefix| prefix.hash).collect()
    };

    assert_eq!(hashes("x", &[1, 2])[0], hashes("x", &[1, 3])[0]);
    assert_ne!(hashes("x", &[1, 2])[1], hashes("x", &[1, 3])[1]);
    assert_ne!(hashes("x", &[2, 1])[1], hashes("x", &[1])[0]);
    assert_ne!(hashes("x", &[1]), hashes("y", &[1]));
    let parts = [(PromptPart::new(1), 10), (PromptPart::new(2), 0), (PromptPart::new(3), 10)];
    assert_eq!(PromptPrefix::all(None, None, parts).count(), 1, "a part of unknown length ends it");
}
