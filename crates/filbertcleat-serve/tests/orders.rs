//! Orders of the adapter scheduler to a simulated engine whose answers may be lost.

mod support;

use filbertcleat_base::ModelName;
use filbertcleat_serve::AdapterScheduler;
use filbertcleat_serve::AdapterStage;
use filbertcleat_serve::OrderKind;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::proptest;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use self::support::agent::ANNOUNCEMENT_DELAY_MS;
use self::support::agent::disturb;
use self::support::agent::entry_update;
use self::support::agent::step;
use self::support::at;
use self::support::engine::Engine;
use self::support::key;

#[test]
fn demanded_adapters_load() {
    let (mut scheduler, mut engine) = (AdapterScheduler::default(), Engine::new(&["base"]));
    scheduler.apply_entry_update(at(0), entry_update(1, &[("x", 0), ("y", 2)], &[]));

    // Two loads one after the other.
    for now in (0..600).step_by(20) {
        step(&mut scheduler, &mut engine, now, || false);
    }

    assert!(engine.report.loaded_adapters.contains(&(key("x"), 0)));
    assert!(engine.report.loaded_adapters.contains(&(key("y"), 2)));
}

#[test]
fn missing_model_loads_first() {
    let (mut scheduler, mut engine) = (AdapterScheduler::default(), Engine::new(&[]));
    scheduler.apply_entry_update(at(0), entry_update(1, &[("x", 0)], &[]));
    scheduler.apply_report(at(0), engine.report.clone());

    let order = scheduler.next_order(at(0), ANNOUNCEMENT_DELAY_MS).expect("the engine is empty");

    assert_eq!(order.kind, OrderKind::LoadModel(ModelName::new("base")));
    assert!(engine.execute(0, &order).is_some());
}

#[test]
fn newer_version_replaces() {
    let (mut scheduler, mut engine) = (AdapterScheduler::default(), Engine::new(&["base"]));
    engine.report.loaded_adapters = vec![(key("x"), 1)];
    scheduler.apply_entry_update(at(0), entry_update(1, &[("x", 2)], &[]));

    for now in (0..400).step_by(20) {
        step(&mut scheduler, &mut engine, now, || false);
    }

    assert_eq!(engine.report.loaded_adapters, [(key("x"), 2)]);
}

#[test]
fn idle_unloads_after_announcement() {
    let (mut scheduler, mut engine) = (AdapterScheduler::default(), Engine::new(&["base"]));
    engine.report.loaded_adapters = ["a", "b", "c", "d"].map(|name| (key(name), 1)).to_vec();
    scheduler.apply_entry_update(at(0), entry_update(1, &[("x", 0)], &["a", "b", "c"]));

    step(&mut scheduler, &mut engine, 0, || false);
    let unloading: Vec<_> = scheduler
        .adapters()
        .into_iter()
        .filter(|adapter| adapter.stage == AdapterStage::Unloading)
        .collect();
    assert_eq!(unloading.len(), 1);
    assert_eq!(unloading[0].key, key("d"));
    assert_eq!(engine.report.loaded_adapters.len(), 4, "entries must learn of the unload first");

    for now in (20..500).step_by(20) {
        step(&mut scheduler, &mut engine, now, || false);
    }
    assert!(engine.report.loaded_adapters.contains(&(key("x"), 0)));
}

#[rstest]
#[case::reported(false)]
#[case::hidden(true)]
fn pending_unload_keeps_slot(#[case] hides_pending_unloads: bool) {
    let (mut scheduler, mut engine) = (AdapterScheduler::default(), Engine::new(&["base"]));
    engine.hides_pending_unloads = hides_pending_unloads;
    engine.report.loaded_adapters = ["a", "b", "c", "d"].map(|name| (key(name), 1)).to_vec();
    // A request that no update has announced delays the unload.
    engine.run(key("d"), 2_000);
    scheduler.apply_entry_update(at(0), entry_update(1, &[("x", 0)], &["a", "b", "c"]));

    for (sequence, now) in (2..).zip((0..1_000).step_by(20)) {
        scheduler
            .apply_entry_update(at(now), entry_update(sequence, &[("x", 0)], &["a", "b", "c"]));
        step(&mut scheduler, &mut engine, now, || false);
        assert!(
            engine.max_occupied_slots <= Engine::ADAPTER_SLOTS,
            "{} slots occupied",
            engine.max_occupied_slots
        );
    }
    assert_eq!(engine.report.order_count, 1, "only one unload was ordered");
}

#[test]
fn reused_adapter_stays() {
    let (mut scheduler, mut engine) = (AdapterScheduler::default(), Engine::new(&["base"]));
    engine.report.loaded_adapters = ["a", "b", "c", "d"].map(|name| (key(name), 1)).to_vec();
    scheduler.apply_entry_update(at(0), entry_update(1, &[("x", 0)], &["a", "b", "c"]));
    step(&mut scheduler, &mut engine, 0, || false);

    scheduler.apply_entry_update(at(50), entry_update(2, &[("x", 0)], &["a", "b", "c", "d"]));
    for now in (60..400).step_by(20) {
        step(&mut scheduler, &mut engine, now, || false);
    }

    assert_eq!(engine.report.loaded_adapters.len(), 4);
    assert!(scheduler.adapters().iter().all(|adapter| adapter.stage == AdapterStage::Loaded));
}

#[test]
fn silent_entries_expire() {
    let (mut scheduler, engine) = (AdapterScheduler::default(), Engine::new(&["base"]));
    scheduler.apply_entry_update(at(0), entry_update(1, &[("x", 0)], &[]));
    scheduler.apply_report(at(0), engine.report);

    assert_eq!(scheduler.live_entries(at(3_000)), 1);
    assert_eq!(scheduler.live_entries(at(3_001)), 0);
    assert_eq!(
        scheduler.next_order(at(1_201), ANNOUNCEMENT_DELAY_MS),
        None,
        "the demand has expired"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(8), ..ProptestConfig::default() })]

    /// Whatever the demand and whichever answers are lost, the scheduler never loads more adapters
    /// than there are slots, and never an adapter that is already loading.
    #[test]
    fn never_exceeds_slots(seed: u64, hides_pending_unloads: bool) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut scheduler, mut engine) = (AdapterScheduler::default(), Engine::new(&["base"]));
        engine.hides_pending_unloads = hides_pending_unloads;
        for (sequence, now) in (1..).zip((0..10_000).step_by(20)) {
            disturb(&mut rng, &mut scheduler, &mut engine, now, sequence);
            step(&mut scheduler, &mut engine, now, || rng.random_bool(0.3));
            let occupied = engine.max_occupied_slots;
            prop_assert!(occupied <= Engine::ADAPTER_SLOTS, "{occupied} slots occupied");
            prop_assert!(engine.duplicate_loads == 0);
        }
        // If reports omit pending unloads, their slots stay reserved for 30 s. The test is shorter.
        let orders_min = if hides_pending_unloads { 4 } else { 20 };
        prop_assert!(engine.report.order_count > orders_min, "too few orders were executed");
    }
}
