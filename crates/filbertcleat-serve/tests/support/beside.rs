//! An agent's decisions beside the small engine.

use filbertcleat_serve::AdapterDemand;
use filbertcleat_serve::AdapterScheduler;
use filbertcleat_serve::EntryUpdate;
use rand::Rng;
use rand::rngs::SmallRng;

use super::at;
use super::engine::Engine;
use super::key;
use super::shape;

/// The time that entries have to hear that an adapter is going.
pub const ANNOUNCED_MS: u64 = 120;

/// Returns what an entry wants, with versions, and uses.
pub fn entry_news(sequence: u64, wants: &[(&str, u64)], uses: &[&str]) -> EntryUpdate {
    let wants = wants.iter().map(|(adapter, version)| AdapterDemand {
        key: key(adapter),
        min_version: *version,
        priority: 1,
        waiting_requests: 1,
    });
    EntryUpdate {
        entry: 1,
        sequence,
        adapter_demand: wants.collect(),
        adapters_in_use: uses.iter().map(|adapter| (key(adapter), 1)).collect(),
        engine_spec: Some(shape()),
        ..EntryUpdate::default()
    }
}

/// Runs an agent beside an engine in steps of 20 ms.
pub fn step(
    shelf: &mut AdapterScheduler,
    engine: &mut Engine,
    now: u64,
    mut is_lost: impl FnMut() -> bool,
) {
    engine.pass(now);
    shelf.apply_report(at(now), engine.report.clone());
    for _ in 0..8 {
        let Some(order) = shelf.next_order(at(now), ANNOUNCED_MS) else { return };
        if is_lost() {
            // The answer is lost, and the order may be carried out seconds later.
            engine.late.push((now + 2_000, order));
            return;
        }
        let Some(is_done) = engine.carry_out(now, &order) else {
            shelf.on_refused(at(now), &order);
            return;
        };
        shelf.on_accepted(at(now), &order, is_done);
    }
}

/// Lets an entry speak and a run begin that no entry has told of, each now and then.
pub fn trouble(
    rng: &mut SmallRng,
    shelf: &mut AdapterScheduler,
    engine: &mut Engine,
    now: u64,
    sequence: u64,
) {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    if rng.random_bool(0.2) {
        let mut pick =
            |share| -> Vec<&str> { names.into_iter().filter(|_| rng.random_bool(share)).collect() };
        let (wants, uses) = (pick(0.4), pick(0.2));
        let wants: Vec<_> = wants.into_iter().map(|name| (name, 0)).collect();
        shelf.apply_entry_update(at(now), entry_news(sequence, &wants, &uses));
    }
    if rng.random_bool(0.2) && !engine.report.loaded_adapters.is_empty() {
        let number = rng.random_range(0..engine.report.loaded_adapters.len());
        engine.run(engine.report.loaded_adapters[number].0.clone(), now + 500);
    }
}
