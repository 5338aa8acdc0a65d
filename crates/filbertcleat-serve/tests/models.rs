//! Which base models engines come to hold when each agent decides alone.

mod support;

use std::collections::VecDeque;

use filbertcleat_base::ModelName;
use filbertcleat_serve::AdapterScheduler;
use filbertcleat_serve::EngineSpec;
use filbertcleat_serve::EntryUpdate;
use filbertcleat_serve::ModelDemand;
use filbertcleat_serve::ModelSpec;
use filbertcleat_serve::Order;
use filbertcleat_serve::OrderKind;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use self::support::at;
use self::support::beside::ANNOUNCED_MS;
use self::support::beside::entry_news;
use self::support::engine::Engine;
use self::support::shape;

/// The loads that a store of weights serves in a window of five seconds: the smallest allowance of the
/// deployments, 2.1 a second and a tenth more, and 3.
const LOADS_IN_WINDOW_MAX: usize = 14;
const WINDOW_MS: u64 = 5_000;
const STEP_MS: u64 = 100;

/// Engines with their agents, and an entry that tells them of the work for models.
struct Deployment {
    shape: EngineSpec,
    engines: Vec<(AdapterScheduler, Engine)>,
    rng: SmallRng,
    now: u64,
    sequence: u64,
    load_times: VecDeque<u64>,
    most_loads: usize,
}

impl Deployment {
    fn new(models: &[(&str, f64)], held: &[&[&str]]) -> Self {
        let models = models.iter().map(|(name, weights_mb)| ModelSpec {
            name: ModelName::new(name),
            weights_mb: *weights_mb,
            adapter_mb: 10.0,
        });
        let engines = (0..)
            .zip(held)
            .map(|(number, held)| (AdapterScheduler::new(number), Engine::new(held)));
        Self {
            shape: EngineSpec { models: models.collect(), ..shape() },
            engines: engines.collect(),
            rng: SmallRng::seed_from_u64(11),
            now: 0,
            sequence: 0,
            load_times: VecDeque::new(),
            most_loads: 0,
        }
    }

    /// Lets time pass under a work for models, in requests within the entries' memory; it differs by
    /// chance from one second to the next.
    fn run(&mut self, seconds: u64, work: &[(&str, u32)]) {
        for _ in 0..seconds * 1_000 / STEP_MS {
            self.now += STEP_MS;
            self.sequence += 1;
            let demand = self.demand(work);
            let now = self.now;
            let orders_before = self.loads();
            for (shelf, engine) in &mut self.engines {
                let news = EntryUpdate {
                    engine_spec: Some(self.shape.clone()),
                    model_demand: demand.clone(),
                    ..entry_news(self.sequence, &[], &[])
                };
                shelf.apply_entry_update(at(now), news);
                engine.pass(now);
                shelf.apply_report(at(now), engine.report.clone());
                while let Some(order) = shelf.next_order(at(now), ANNOUNCED_MS) {
                    let is_done = engine.carry_out(now, &order).expect("no order was late");
                    shelf.on_accepted(at(now), &order, is_done);
                }
                let weights_mb: f64 = engine
                    .report
                    .loaded_models
                    .iter()
                    .chain(&engine.report.loading_models)
                    .filter_map(|held| self.shape.models.iter().find(|model| model.name == *held))
                    .map(|model| model.weights_mb)
                    .sum();
                assert!(weights_mb <= self.shape.weights_max_mb, "{weights_mb} MB of weights");
            }
            self.load_times.extend((orders_before..self.loads()).map(|_| now));
            self.load_times.retain(|at| now - at <= WINDOW_MS);
            self.most_loads = self.most_loads.max(self.load_times.len());
        }
    }

    fn demand(&mut self, work: &[(&str, u32)]) -> Vec<ModelDemand> {
        let mut demand = Vec::new();
        for model in &self.shape.models {
            let usual = work.iter().find(|(name, _)| model.name.as_str() == *name);
            let usual = usual.map_or(0, |(_, work)| *work);
            let spread = f64::from(usual).sqrt() as u32;
            let work = usual + self.rng.random_range(0..=2 * spread) - spread;
            let engines = self.holders(model.name.as_str());
            demand.push(ModelDemand { model: model.name.clone(), recent_requests: work, engines });
        }
        demand
    }

    fn holders(&self, model: &str) -> u32 {
        let model = ModelName::new(model);
        let holders = self.engines.iter().filter(|(_, engine)| {
            engine.report.loaded_models.contains(&model)
                || engine.report.loading_models.contains(&model)
        });
        u32::try_from(holders.count()).expect("few engines")
    }

    fn loads(&self) -> usize {
        self.engines.iter().map(|(_, engine)| engine.loads).sum()
    }
}

/// Two models that don't fit beside each other, and a small one.
const MODELS: [(&str, f64); 3] = [("large", 700.0), ("other", 700.0), ("small", 400.0)];

#[test]
fn demand_moves() {
    let mut held: Vec<&[&str]> = vec![&["large"]; 16];
    held.extend([&["other"] as &[&str], &["small"]]);
    let mut deployment = Deployment::new(&MODELS, &held);

    deployment.run(60, &[("large", 100), ("other", 800), ("small", 40)]);

    assert!(deployment.holders("other") >= 12, "{} hold it", deployment.holders("other"));
    assert!(deployment.holders("large") >= 1);
    assert!(deployment.holders("small") >= 1);
    assert!(deployment.most_loads <= LOADS_IN_WINDOW_MAX, "{} loads", deployment.most_loads);
}

#[test]
fn steady_demand_stays() {
    let mut held: Vec<&[&str]> = vec![&["large"]; 12];
    held.extend([&["other"] as &[&str]; 5]);
    held.push(&["small"]);
    let mut deployment = Deployment::new(&MODELS, &held);

    deployment.run(120, &[("large", 600), ("other", 260), ("small", 60)]);

    assert_eq!(deployment.loads(), 0);
}

#[test]
fn unheld_model_comes() {
    let held: Vec<&[&str]> = vec![&["large"]; 6];
    let mut deployment = Deployment::new(&MODELS, &held);

    deployment.run(30, &[("large", 500), ("other", 20)]);

    assert!(deployment.holders("other") >= 1);
    assert!(deployment.holders("large") >= 4);
}

#[test]
fn fits_beside() {
    let models = [("first", 400.0), ("second", 400.0)];
    let held: [&[&str]; 3] = [&["first"], &["first"], &["first"]];
    let mut deployment = Deployment::new(&models, &held);

    deployment.run(30, &[("first", 300), ("second", 300)]);

    assert_eq!(deployment.holders("first"), 3, "there is room for both");
    assert!(deployment.holders("second") >= 2);
}

/// The only engine of a model keeps it, however little it is asked for.
#[test]
fn last_engine_stays() {
    let held: [&[&str]; 3] = [&["large"], &["large"], &["other"]];
    let mut deployment = Deployment::new(&MODELS, &held);

    deployment.run(60, &[("large", 900)]);

    assert_eq!(deployment.holders("other"), 1);
}

#[rstest]
#[case::of_equals_the_first(vec![], "first")]
#[case::most_wanted(vec![("second", 3, 0), ("third", 2, 0)], "second")]
#[case::least_served(vec![("second", 3, 2), ("third", 2, 0)], "third")]
fn empty_engine_loads(#[case] demand: Vec<(&str, u32, u32)>, #[case] expected: &str) {
    let model =
        |name: &str| ModelSpec { name: ModelName::new(name), weights_mb: 500.0, adapter_mb: 10.0 };
    let models = vec![model("first"), model("second"), model("third")];
    let demand = demand.iter().map(|(name, work, engines)| ModelDemand {
        model: ModelName::new(name),
        recent_requests: *work,
        engines: *engines,
    });
    let news = EntryUpdate {
        engine_spec: Some(EngineSpec { models, ..shape() }),
        model_demand: demand.collect(),
        ..entry_news(1, &[], &[])
    };
    let mut shelf = AdapterScheduler::default();
    shelf.apply_entry_update(at(0), news);
    shelf.apply_report(at(0), Engine::new(&[]).report);

    let order = shelf.next_order(at(0), ANNOUNCED_MS).expect("the engine is empty");

    assert_eq!(order.kind, OrderKind::LoadModel(ModelName::new(expected)));
}

/// A model that goes is no longer offered, and is dropped once its runs are over.
#[test]
fn runs_end_first() {
    let shape = EngineSpec {
        models: vec![
            ModelSpec { name: ModelName::new("base"), weights_mb: 700.0, adapter_mb: 10.0 },
            ModelSpec { name: ModelName::new("next"), weights_mb: 700.0, adapter_mb: 10.0 },
        ],
        ..shape()
    };
    let demand = |model: &str, work, engines| ModelDemand {
        model: ModelName::new(model),
        recent_requests: work,
        engines,
    };
    let news = |sequence, uses: &[&str]| EntryUpdate {
        engine_spec: Some(shape.clone()),
        model_demand: vec![demand("base", 0, 2), demand("next", 500, 1)],
        ..entry_news(sequence, &[], uses)
    };
    let (mut shelf, engine) = (AdapterScheduler::default(), Engine::new(&["base"]));
    let mut order: Option<Order> = None;
    let mut went = None;
    for now in (0..20_000).step_by(100) {
        let uses: &[&str] = if now < 8_000 { &["a"] } else { &[] };
        shelf.apply_entry_update(at(now), news(now + 1, uses));
        shelf.apply_report(at(now), engine.report.clone());
        if went.is_none() && shelf.available_models().is_empty() {
            went = Some(now);
        }
        order = shelf.next_order(at(now), ANNOUNCED_MS);
        if order.is_some() {
            assert!(now >= 8_000, "a run was cut short at {now} ms");
            break;
        }
    }
    assert!(went.is_some_and(|at| at < 8_000), "entries are told before");
    assert_eq!(order.map(|order| order.kind), Some(OrderKind::UnloadModel(ModelName::new("base"))));
}
