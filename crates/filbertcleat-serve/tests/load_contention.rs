//! How agents share the weight store when all engines load adapters at the same time.

mod support;

use std::collections::BTreeMap;

use filbertcleat_base::ModelName;
use filbertcleat_serve::AdapterDemand;
use filbertcleat_serve::AdapterKey;
use filbertcleat_serve::AdapterScheduler;
use filbertcleat_serve::EngineReport;
use filbertcleat_serve::EngineSpec;
use filbertcleat_serve::EntryUpdate;
use filbertcleat_serve::OrderKind;
use rstest::rstest;

use self::support::at;
use self::support::engine_spec;
use self::support::id;
use self::support::key;

const LOAD_MS: f64 = 250.0;
const STEP_MS: u64 = 25;
const ADAPTER_SLOTS: usize = 400;

/// An agent with its engine, whose loads come from a store that all engines share.
struct Loader {
    scheduler: AdapterScheduler,
    report: EngineReport,
    /// The loads in progress: when they began, and the time that they still need without contention.
    loads: BTreeMap<AdapterKey, (u64, f64)>,
}

impl Loader {
    fn new(number: u64) -> Self {
        let report = EngineReport {
            server: id(&format!("engine-{number}")),
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
            memory_tokens: 100,
        };
        Self { scheduler: AdapterScheduler::new(number), report, loads: BTreeMap::new() }
    }

    /// Reports, and executes the orders that the agent then sends.
    fn step(&mut self, now: u64) {
        self.scheduler.apply_entry_update(at(now), demand_for_all(now));
        self.scheduler.apply_report(at(now), self.report.clone());
        while let Some(order) = self.scheduler.next_order(at(now), 0) {
            let OrderKind::LoadAdapter(key, version) = &order.kind else { return };
            self.report.order_count += 1;
            self.report.loading_adapters.push((key.clone(), *version));
            self.loads.insert(key.clone(), (now, LOAD_MS));
            self.scheduler.on_accepted(at(now), &order, false);
        }
    }

    /// Advances the loads at a part of the full speed. Returns the durations of those that ended.
    fn load(&mut self, now: u64, speed: f64) -> Vec<u64> {
        let mut durations_ms = Vec::new();
        let (loads, report) = (&mut self.loads, &mut self.report);
        loads.retain(|key, (since, left_ms)| {
            *left_ms -= STEP_MS as f64 * speed;
            if *left_ms > 0.0 {
                return true;
            }
            durations_ms.push(now + STEP_MS - *since);
            report.loading_adapters.retain(|(loading, _)| loading != key);
            report.loaded_adapters.push((key.clone(), 1));
            false
        });
        durations_ms
    }
}

/// Returns the update of an entry whose queue waits for hundreds of adapters.
fn demand_for_all(now: u64) -> EntryUpdate {
    let adapter_demand = (0..ADAPTER_SLOTS - 10).map(|number| AdapterDemand {
        key: key(&format!("adapter-{number}")),
        min_version: 0,
        priority: 1,
        waiting_requests: 1,
    });
    let spec = engine_spec();
    EntryUpdate {
        entry: 1,
        sequence: now + 1,
        adapter_demand: adapter_demand.collect(),
        engine_spec: Some(EngineSpec {
            adapter_slots: ADAPTER_SLOTS,
            weights_max_mb: 100_000.0,
            ..spec
        }),
        ..EntryUpdate::default()
    }
}

/// After a loss of power every engine is empty and every adapter is demanded. The store must be kept
/// busy, but loads must not slow each other down so far that no request can wait for them.
#[rstest]
#[case::few_engines(9, 8)]
#[case::more_engines(18, 8)]
#[case::store_for_all(6, 40)]
fn cold_engines_share_store(#[case] engines: u64, #[case] at_full_speed: usize) {
    let mut loaders: Vec<_> = (0..engines).map(Loader::new).collect();
    let mut durations_ms = Vec::new();
    let length_ms = 10_000;

    for now in (0..length_ms).step_by(STEP_MS as usize) {
        for loader in &mut loaders {
            loader.step(now);
        }
        let in_progress: usize = loaders.iter().map(|loader| loader.loads.len()).sum();
        let speed = (at_full_speed as f64 / in_progress.max(1) as f64).min(1.0);
        for loader in &mut loaders {
            durations_ms.extend(loader.load(now, speed));
        }
    }

    durations_ms.sort_unstable();
    let median_ms = durations_ms[durations_ms.len() / 2];
    // One load an engine, which is the least that keeps all of them busy.
    let single_ms = LOAD_MS * (engines as f64 / at_full_speed as f64).max(1.0);
    assert!(median_ms as f64 <= single_ms * 1.5, "median {median_ms} ms");
    let in_parallel = at_full_speed.min(engines as usize * 4) as f64;
    let loads_max = length_ms as f64 / LOAD_MS * in_parallel;
    assert!(durations_ms.len() as f64 >= loads_max * 0.8, "{} loads", durations_ms.len());
}
