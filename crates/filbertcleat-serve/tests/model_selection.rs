//! Base models that engines load when each agent decides on its own.

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

use self::support::agent::ANNOUNCEMENT_DELAY_MS;
use self::support::agent::entry_update;
use self::support::at;
use self::support::engine::Engine;
use self::support::engine_spec;

/// The loads that a weight store serves within the window. The smallest allowance of the
/// deployments is 2.1 loads per second plus 10%, and 3 more.
const LOADS_PER_WINDOW_MAX: usize = 14;
const WINDOW_MS: u64 = 5_000;
const STEP_MS: u64 = 100;

/// Engines with their schedulers, and an entry that reports the demand for models.
struct Deployment {
    engine_spec: EngineSpec,
    engines: Vec<(AdapterScheduler, Engine)>,
    rng: SmallRng,
    now: u64,
    sequence: u64,
    load_times: VecDeque<u64>,
    max_loads_per_window: usize,
}

impl Deployment {
    fn new(models: &[(&str, f64)], loaded: &[&[&str]]) -> Self {
        let models = models.iter().map(|(name, weights_mb)| ModelSpec {
            name: ModelName::new(name),
            weights_mb: *weights_mb,
            adapter_mb: 10.0,
        });
        let engines = (0..)
            .zip(loaded)
            .map(|(number, loaded)| (AdapterScheduler::new(number), Engine::new(loaded)));
        Self {
            engine_spec: EngineSpec { models: models.collect(), ..engine_spec() },
            engines: engines.collect(),
            rng: SmallRng::seed_from_u64(11),
            now: 0,
            sequence: 0,
            load_times: VecDeque::new(),
            max_loads_per_window: 0,
        }
    }

    /// Runs the deployment with the given recent requests by model. Each step adds random noise.
    fn run(&mut self, seconds: u64, requests: &[(&str, u32)]) {
        for _ in 0..seconds * 1_000 / STEP_MS {
            self.now += STEP_MS;
            self.sequence += 1;
            let demand = self.demand(requests);
            let now = self.now;
            let loads_before = self.loads();
            for (scheduler, engine) in &mut self.engines {
                let update = EntryUpdate {
                    engine_spec: Some(self.engine_spec.clone()),
                    model_demand: demand.clone(),
                    ..entry_update(self.sequence, &[], &[])
                };
                scheduler.apply_entry_update(at(now), update);
                engine.pass(now);
                scheduler.apply_report(at(now), engine.report.clone());
                while let Some(order) = scheduler.next_order(at(now), ANNOUNCEMENT_DELAY_MS) {
                    let is_done = engine.execute(now, &order).expect("no order is late");
                    scheduler.on_accepted(at(now), &order, is_done);
                }
                let weights_mb: f64 = engine
                    .report
                    .loaded_models
                    .iter()
                    .chain(&engine.report.loading_models)
                    .filter_map(|loaded| {
                        self.engine_spec.models.iter().find(|model| model.name == *loaded)
                    })
                    .map(|model| model.weights_mb)
                    .sum();
                assert!(
                    weights_mb <= self.engine_spec.weights_max_mb,
                    "{weights_mb} MB of weights"
                );
            }
            self.load_times.extend((loads_before..self.loads()).map(|_| now));
            self.load_times.retain(|at| now - at <= WINDOW_MS);
            self.max_loads_per_window = self.max_loads_per_window.max(self.load_times.len());
        }
    }

    fn demand(&mut self, requests: &[(&str, u32)]) -> Vec<ModelDemand> {
        let mut demand = Vec::new();
        for model in &self.engine_spec.models {
            let usual = requests.iter().find(|(name, _)| model.name.as_str() == *name);
            let usual = usual.map_or(0, |(_, requests)| *requests);
            let spread = f64::from(usual).sqrt() as u32;
            let requests = usual + self.rng.random_range(0..=2 * spread) - spread;
            let engines = self.engines_with(model.name.as_str());
            demand.push(ModelDemand {
                model: model.name.clone(),
                recent_requests: requests,
                engines,
            });
        }
        demand
    }

    fn engines_with(&self, model: &str) -> u32 {
        let model = ModelName::new(model);
        let engines = self.engines.iter().filter(|(_, engine)| {
            engine.report.loaded_models.contains(&model)
                || engine.report.loading_models.contains(&model)
        });
        u32::try_from(engines.count()).expect("few engines")
    }

    fn loads(&self) -> usize {
        self.engines.iter().map(|(_, engine)| engine.model_loads).sum()
    }
}

/// Two models that don't fit on one engine together, and a small one.
const MODELS: [(&str, f64); 3] = [("large", 700.0), ("other", 700.0), ("small", 400.0)];

#[test]
fn engines_follow_demand() {
    let mut loaded: Vec<&[&str]> = vec![&["large"]; 16];
    loaded.extend([&["other"] as &[&str], &["small"]]);
    let mut deployment = Deployment::new(&MODELS, &loaded);

    deployment.run(60, &[("large", 100), ("other", 800), ("small", 40)]);

    assert!(
        deployment.engines_with("other") >= 12,
        "{} engines have it",
        deployment.engines_with("other")
    );
    assert!(deployment.engines_with("large") >= 1);
    assert!(deployment.engines_with("small") >= 1);
    assert!(
        deployment.max_loads_per_window <= LOADS_PER_WINDOW_MAX,
        "{} loads",
        deployment.max_loads_per_window
    );
}

#[test]
fn steady_demand_loads_nothing() {
    let mut loaded: Vec<&[&str]> = vec![&["large"]; 12];
    loaded.extend([&["other"] as &[&str]; 5]);
    loaded.push(&["small"]);
    let mut deployment = Deployment::new(&MODELS, &loaded);

    deployment.run(120, &[("large", 600), ("other", 260), ("small", 60)]);

    assert_eq!(deployment.loads(), 0);
}

#[test]
fn unserved_model_loads() {
    let loaded: Vec<&[&str]> = vec![&["large"]; 6];
    let mut deployment = Deployment::new(&MODELS, &loaded);

    deployment.run(30, &[("large", 500), ("other", 20)]);

    assert!(deployment.engines_with("other") >= 1);
    assert!(deployment.engines_with("large") >= 4);
}

#[test]
fn fitting_model_loads_beside() {
    let models = [("first", 400.0), ("second", 400.0)];
    let loaded: [&[&str]; 3] = [&["first"], &["first"], &["first"]];
    let mut deployment = Deployment::new(&models, &loaded);

    deployment.run(30, &[("first", 300), ("second", 300)]);

    assert_eq!(deployment.engines_with("first"), 3, "both models fit");
    assert!(deployment.engines_with("second") >= 2);
}

/// The only engine of a model must keep it even without demand.
#[test]
fn last_engine_keeps_model() {
    let loaded: [&[&str]; 3] = [&["large"], &["large"], &["other"]];
    let mut deployment = Deployment::new(&MODELS, &loaded);

    deployment.run(60, &[("large", 900)]);

    assert_eq!(deployment.engines_with("other"), 1);
}

#[rstest]
#[case::first_of_equals(vec![], "first")]
#[case::highest_demand(vec![("second", 3, 0), ("third", 2, 0)], "second")]
#[case::highest_demand_per_engine(vec![("second", 3, 2), ("third", 2, 0)], "third")]
fn empty_engine_loads(#[case] demand: Vec<(&str, u32, u32)>, #[case] expected: &str) {
    let model =
        |name: &str| ModelSpec { name: ModelName::new(name), weights_mb: 500.0, adapter_mb: 10.0 };
    let models = vec![model("first"), model("second"), model("third")];
    let demand = demand.iter().map(|(name, requests, engines)| ModelDemand {
        model: ModelName::new(name),
        recent_requests: *requests,
        engines: *engines,
    });
    let update = EntryUpdate {
        engine_spec: Some(EngineSpec { models, ..engine_spec() }),
        model_demand: demand.collect(),
        ..entry_update(1, &[], &[])
    };
    let mut scheduler = AdapterScheduler::default();
    scheduler.apply_entry_update(at(0), update);
    scheduler.apply_report(at(0), Engine::new(&[]).report);

    let order = scheduler.next_order(at(0), ANNOUNCEMENT_DELAY_MS).expect("the engine is empty");

    assert_eq!(order.kind, OrderKind::LoadModel(ModelName::new(expected)));
}

/// An unloading model gets no new requests and is unloaded only when its requests have ended.
#[test]
fn unload_waits_for_requests() {
    let spec = EngineSpec {
        models: vec![
            ModelSpec { name: ModelName::new("base"), weights_mb: 700.0, adapter_mb: 10.0 },
            ModelSpec { name: ModelName::new("next"), weights_mb: 700.0, adapter_mb: 10.0 },
        ],
        ..engine_spec()
    };
    let demand = |model: &str, requests, engines| ModelDemand {
        model: ModelName::new(model),
        recent_requests: requests,
        engines,
    };
    let update = |sequence, in_use: &[&str]| EntryUpdate {
        engine_spec: Some(spec.clone()),
        model_demand: vec![demand("base", 0, 2), demand("next", 500, 1)],
        ..entry_update(sequence, &[], in_use)
    };
    let (mut scheduler, engine) = (AdapterScheduler::default(), Engine::new(&["base"]));
    let mut order: Option<Order> = None;
    let mut unavailable_since = None;
    for now in (0..20_000).step_by(100) {
        let in_use: &[&str] = if now < 8_000 { &["a"] } else { &[] };
        scheduler.apply_entry_update(at(now), update(now + 1, in_use));
        scheduler.apply_report(at(now), engine.report.clone());
        if unavailable_since.is_none() && scheduler.available_models().is_empty() {
            unavailable_since = Some(now);
        }
        order = scheduler.next_order(at(now), ANNOUNCEMENT_DELAY_MS);
        if order.is_some() {
            assert!(now >= 8_000, "the model was unloaded during a request, at {now} ms");
            break;
        }
    }
    assert!(unavailable_since.is_some_and(|at| at < 8_000), "entries learn of the unload before");
    assert_eq!(order.map(|order| order.kind), Some(OrderKind::UnloadModel(ModelName::new("base"))));
}
