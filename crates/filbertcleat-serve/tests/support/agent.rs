//! Runs an adapter scheduler against the simulated engine.

use filbertcleat_serve::AdapterDemand;
use filbertcleat_serve::AdapterScheduler;
use filbertcleat_serve::EntryUpdate;
use rand::Rng;
use rand::rngs::SmallRng;

use super::at;
use super::engine::Engine;
use super::engine_spec;
use super::key;

/// The time that entries have to learn that an adapter is about to be unloaded.
pub const ANNOUNCEMENT_DELAY_MS: u64 = 120;

/// Returns the update of an entry with demand for adapters at versions, and with adapters in use.
pub fn entry_update(sequence: u64, demand: &[(&str, u64)], in_use: &[&str]) -> EntryUpdate {
    let demand = demand.iter().map(|(adapter, version)| AdapterDemand {
        key: key(adapter),
        min_version: *version,
        priority: 1,
        waiting_requests: 1,
    });
    EntryUpdate {
        entry: 1,
        sequence,
        adapter_demand: demand.collect(),
        adapters_in_use: in_use.iter().map(|adapter| (key(adapter), 1)).collect(),
        engine_spec: Some(engine_spec()),
        ..EntryUpdate::default()
    }
}

/// Runs one step: the engine reports, and the scheduler sends orders until it has none or an order
/// is refused or lost.
pub fn step(
    scheduler: &mut AdapterScheduler,
    engine: &mut Engine,
    now: u64,
    mut is_lost: impl FnMut() -> bool,
) {
    engine.pass(now);
    scheduler.apply_report(at(now), engine.report.clone());
    for _ in 0..8 {
        let Some(order) = scheduler.next_order(at(now), ANNOUNCEMENT_DELAY_MS) else { return };
        if is_lost() {
            // The answer is lost, and the engine may execute the order 2 s later.
            engine.delayed_orders.push((now + 2_000, order));
            return;
        }
        let Some(is_done) = engine.execute(now, &order) else {
            scheduler.on_refused(at(now), &order);
            return;
        };
        scheduler.on_accepted(at(now), &order, is_done);
    }
}

/// Sends a random entry update now and then, and starts requests that no entry has announced.
pub fn disturb(
    rng: &mut SmallRng,
    scheduler: &mut AdapterScheduler,
    engine: &mut Engine,
    now: u64,
    sequence: u64,
) {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    if rng.random_bool(0.2) {
        let mut pick =
            |share| -> Vec<&str> { names.into_iter().filter(|_| rng.random_bool(share)).collect() };
        let (demand, in_use) = (pick(0.4), pick(0.2));
        let demand: Vec<_> = demand.into_iter().map(|name| (name, 0)).collect();
        scheduler.apply_entry_update(at(now), entry_update(sequence, &demand, &in_use));
    }
    if rng.random_bool(0.2) && !engine.report.loaded_adapters.is_empty() {
        let number = rng.random_range(0..engine.report.loaded_adapters.len());
        engine.run(engine.report.loaded_adapters[number].0.clone(), now + 500);
    }
}
