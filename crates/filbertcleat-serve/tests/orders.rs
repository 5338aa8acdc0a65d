//! Which orders an agent gives, against a small engine that loses answers and is late.

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

use self::support::at;
use self::support::beside::ANNOUNCED_MS;
use self::support::beside::entry_news;
use self::support::beside::step;
use self::support::beside::trouble;
use self::support::engine::Engine;
use self::support::key;

#[test]
fn wanted_is_loaded() {
    let (mut shelf, mut engine) = (AdapterScheduler::default(), Engine::new(&["base"]));
    shelf.apply_entry_update(at(0), entry_news(1, &[("x", 0), ("y", 2)], &[]));

    for now in (0..400).step_by(20) {
        step(&mut shelf, &mut engine, now, || false);
    }

    assert!(engine.report.loaded_adapters.contains(&(key("x"), 0)));
    assert!(engine.report.loaded_adapters.contains(&(key("y"), 2)));
}

#[test]
fn missing_model_first() {
    let (mut shelf, mut engine) = (AdapterScheduler::default(), Engine::new(&[]));
    shelf.apply_entry_update(at(0), entry_news(1, &[("x", 0)], &[]));
    shelf.apply_report(at(0), engine.report.clone());

    let order = shelf.next_order(at(0), ANNOUNCED_MS).expect("the engine is empty");

    assert_eq!(order.kind, OrderKind::LoadModel(ModelName::new("base")));
    assert!(engine.carry_out(0, &order).is_some());
}

#[test]
fn newer_version_replaces() {
    let (mut shelf, mut engine) = (AdapterScheduler::default(), Engine::new(&["base"]));
    engine.report.loaded_adapters = vec![(key("x"), 1)];
    shelf.apply_entry_update(at(0), entry_news(1, &[("x", 2)], &[]));

    for now in (0..400).step_by(20) {
        step(&mut shelf, &mut engine, now, || false);
    }

    assert_eq!(engine.report.loaded_adapters, [(key("x"), 2)]);
}

#[test]
fn idle_goes_announced() {
    let (mut shelf, mut engine) = (AdapterScheduler::default(), Engine::new(&["base"]));
    engine.report.loaded_adapters = ["a", "b", "c", "d"].map(|name| (key(name), 1)).to_vec();
    shelf.apply_entry_update(at(0), entry_news(1, &[("x", 0)], &["a", "b", "c"]));

    step(&mut shelf, &mut engine, 0, || false);
    let going: Vec<_> =
        shelf.adapters().into_iter().filter(|held| held.stage == AdapterStage::Unloading).collect();
    assert_eq!(going.len(), 1);
    assert_eq!(going[0].key, key("d"));
    assert_eq!(engine.report.loaded_adapters.len(), 4, "entries hear of it before it goes");

    for now in (20..500).step_by(20) {
        step(&mut shelf, &mut engine, now, || false);
    }
    assert!(engine.report.loaded_adapters.contains(&(key("x"), 0)));
}

#[rstest]
#[case::named(false)]
#[case::hidden(true)]
fn waiting_drop_keeps_place(#[case] hides_dropping: bool) {
    let (mut shelf, mut engine) = (AdapterScheduler::default(), Engine::new(&["base"]));
    engine.hides_dropping = hides_dropping;
    engine.report.loaded_adapters = ["a", "b", "c", "d"].map(|name| (key(name), 1)).to_vec();
    // A run has begun that the agent could not know of, and holds the drop up.
    engine.run(key("d"), 2_000);
    shelf.apply_entry_update(at(0), entry_news(1, &[("x", 0)], &["a", "b", "c"]));

    for (sequence, now) in (2..).zip((0..1_000).step_by(20)) {
        shelf.apply_entry_update(at(now), entry_news(sequence, &[("x", 0)], &["a", "b", "c"]));
        step(&mut shelf, &mut engine, now, || false);
        assert!(engine.most_held <= Engine::PLACES, "{} held", engine.most_held);
    }
    assert_eq!(engine.report.order_count, 1, "one drop is enough");
}

#[test]
fn used_again_stays() {
    let (mut shelf, mut engine) = (AdapterScheduler::default(), Engine::new(&["base"]));
    engine.report.loaded_adapters = ["a", "b", "c", "d"].map(|name| (key(name), 1)).to_vec();
    shelf.apply_entry_update(at(0), entry_news(1, &[("x", 0)], &["a", "b", "c"]));
    step(&mut shelf, &mut engine, 0, || false);

    shelf.apply_entry_update(at(50), entry_news(2, &[("x", 0)], &["a", "b", "c", "d"]));
    for now in (60..400).step_by(20) {
        step(&mut shelf, &mut engine, now, || false);
    }

    assert_eq!(engine.report.loaded_adapters.len(), 4);
    assert!(shelf.adapters().iter().all(|held| held.stage == AdapterStage::Loaded));
}

#[test]
fn silent_entries_lapse() {
    let (mut shelf, engine) = (AdapterScheduler::default(), Engine::new(&["base"]));
    shelf.apply_entry_update(at(0), entry_news(1, &[("x", 0)], &[]));
    shelf.apply_report(at(0), engine.report);

    assert_eq!(shelf.live_entries(at(3_000)), 1);
    assert_eq!(shelf.live_entries(at(3_001)), 0);
    assert_eq!(shelf.next_order(at(1_201), ANNOUNCED_MS), None, "nobody waits for it any more");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(8), ..ProptestConfig::default() })]

    /// Whatever is wanted and whichever answers are lost, no more is ordered than there are places,
    /// and nothing is ordered that is on its way already.
    #[test]
    fn never_overfull(seed: u64, hides_dropping: bool) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut shelf, mut engine) = (AdapterScheduler::default(), Engine::new(&["base"]));
        engine.hides_dropping = hides_dropping;
        for (sequence, now) in (1..).zip((0..10_000).step_by(20)) {
            trouble(&mut rng, &mut shelf, &mut engine, now, sequence);
            step(&mut shelf, &mut engine, now, || rng.random_bool(0.3));
            prop_assert!(engine.most_held <= Engine::PLACES, "{} held", engine.most_held);
            prop_assert!(engine.doubled == 0);
        }
        // An engine that hides what it drops has its places kept for 30 s, longer than this runs.
        let enough = if hides_dropping { 4 } else { 20 };
        prop_assert!(engine.report.order_count > enough, "few orders were carried out");
    }
}
