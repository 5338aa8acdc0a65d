//! Two agents of one engine that are active at the same time.

mod support;

use filbertcleat_serve::AdapterScheduler;
use proptest::prelude::ProptestConfig;
use proptest::prop_assert;
use proptest::proptest;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::support::agent::ANNOUNCEMENT_DELAY_MS;
use self::support::agent::disturb;
use self::support::agent::step;
use self::support::at;
use self::support::engine::Engine;

/// Sends the orders that follow from the last report that the agent has read, which may be old.
fn order_late(scheduler: &mut AdapterScheduler, engine: &mut Engine, now: u64, is_lost: bool) {
    let Some(order) = scheduler.next_order(at(now), ANNOUNCEMENT_DELAY_MS) else { return };
    if is_lost {
        engine.delayed_orders.push((now + 2_000, order));
        return;
    }
    match engine.execute(now, &order) {
        Some(is_done) => scheduler.on_accepted(at(now), &order, is_done),
        None => scheduler.on_refused(at(now), &order),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// Guards against orders that are carried out twice, and against more adapters than there are
    /// slots, while an agent and its successor are both active for some seconds, read reports of
    /// which the other makes nothing, and have orders without an answer that are carried out later.
    #[test]
    fn both_agents_fit(seed: u64, hides_pending_unloads: bool, overlap_ms in 20_u64..6_000) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut engine = Engine::new(&["base"]);
        engine.hides_pending_unloads = hides_pending_unloads;
        let mut agents = [AdapterScheduler::new(1), AdapterScheduler::new(2)];
        let handover = 3_000;
        for (sequence, now) in (1..).zip((0..12_000).step_by(20)) {
            let is_active = [now < handover + overlap_ms, now >= handover];
            for (agent, _) in agents.iter_mut().zip(is_active).filter(|(_, is_active)| *is_active) {
                disturb(&mut rng, agent, &mut engine, now, sequence);
            }
            let [old, new] = &mut agents;
            match is_active {
                [true, true] => {
                    let (first, second) = if rng.random() { (old, new) } else { (new, old) };
                    // The second one reads a report before the orders of the first one.
                    engine.pass(now);
                    second.apply_report(at(now), engine.report.clone());
                    step(first, &mut engine, now, || rng.random_bool(0.3));
                    let is_lost = rng.random_bool(0.3);
                    order_late(second, &mut engine, now, is_lost);
                }
                [true, false] => step(old, &mut engine, now, || rng.random_bool(0.3)),
                _ => step(new, &mut engine, now, || rng.random_bool(0.3)),
            }
            let occupied = engine.max_occupied_slots;
            prop_assert!(occupied <= Engine::ADAPTER_SLOTS, "{occupied} slots occupied at {now}");
            prop_assert!(engine.duplicate_loads == 0, "an adapter was loaded twice at {now}");
        }
        prop_assert!(engine.report.order_count > 3, "too few orders were executed");
    }
}
