//! When another copy of an adapter is loaded, although an engine already has the adapter.

mod support;

use filbertcleat_serve::AgentUpdate;
use filbertcleat_serve::Placement;
use filbertcleat_serve::QueueWait;
use filbertcleat_serve::RequestQueue;
use filbertcleat_serve::place_engine;
use rstest::rstest;

use self::support::agent_update;
use self::support::at;
use self::support::demand;
use self::support::engine_spec;
use self::support::fleet;
use self::support::id;
use self::support::local_domain;

/// One engine has the adapter and is busy with a prompt; another one is idle.
fn place_beside_busy_holder(wait: QueueWait<'_>) -> Placement {
    let mut fleet = fleet(at(0), &[("a", &["x"]), ("b", &[])]);
    fleet.on_sent(at(0), &id("a"), &demand("x", 3_000));
    let demand = demand("x", 1_000);
    place_engine(at(100), &fleet, &engine_spec(), &demand, &local_domain(), &[], wait)
}

/// The objective is 1,000 ms. A cold adapter gets a copy only after half of it, and only while loads
/// are fast enough for the other half.
#[rstest]
#[case::waited_briefly(499, 250, false)]
#[case::waited_long(500, 250, true)]
#[case::loads_take_half(500, 500, true)]
#[case::loads_are_slow(500, 501, false)]
#[case::loads_are_slow_for_long(1_900, 2_000, false)]
fn cold_adapter_copied(#[case] waited_ms: u64, #[case] load_ms: u64, #[case] is_copied: bool) {
    let placement =
        place_beside_busy_holder(QueueWait { waited_ms, load_ms, ..QueueWait::default() });

    let expected = if is_copied {
        Placement::AwaitLoad(id("b"))
    } else {
        Placement::AwaitCapacity(Some(id("a")))
    };
    assert_eq!(placement, expected);
}

/// A front of requests for one popular adapter: its engine needs longer for them than a copy takes.
#[rstest]
#[case::short_queue(500, 400, false)]
#[case::long_queue(10_000, 400, true)]
#[case::slow_loads(10_000, 20_000, false)]
fn hot_adapter_copied(#[case] adapter_tokens: u64, #[case] load_ms: u64, #[case] is_copied: bool) {
    let wait = QueueWait {
        waited_ms: 10,
        adapter_tokens,
        adapter_tokens_per_ms: 100.0,
        load_ms,
        reserved: &[],
        slow_loaders: &[],
    };

    let expected = if is_copied {
        Placement::AwaitLoad(id("b"))
    } else {
        Placement::AwaitCapacity(Some(id("a")))
    };
    assert_eq!(place_beside_busy_holder(wait), expected);
}

#[test]
fn busy_engine_gets_no_copy() {
    let mut fleet = fleet(at(0), &[("a", &["x"]), ("b", &[])]);
    fleet.on_sent(at(0), &id("a"), &demand("x", 3_000));
    fleet.on_sent(at(0), &id("b"), &demand("y", 3_000));
    let wait = QueueWait { waited_ms: 900, load_ms: 100, ..QueueWait::default() };

    let placement = place_engine(
        at(100),
        &fleet,
        &engine_spec(),
        &demand("x", 3_000),
        &local_domain(),
        &[],
        wait,
    );

    assert_eq!(placement, Placement::AwaitCapacity(Some(id("a"))));
}

/// While the weight store is overloaded, a request waits for the engine that has its adapter.
#[test]
fn slow_loads_prevent_copies() {
    let mut fleet = fleet(at(0), &[("a", &["x"]), ("b", &[]), ("c", &[])]);
    let mut queue = RequestQueue::new(7);
    let spec = engine_spec();
    // Loads that never end in time teach the entry that the store is overloaded.
    for number in 0..40 {
        let ticket = queue.push(at(0), demand(&format!("lost-{number}"), 100), Vec::new());
        queue.dispatch(at(0), &mut fleet, &local_domain(), |_| Some(&spec));
        queue.remove(at(2_000), ticket);
    }
    for (sequence, name, loaded) in [(2, "a", &["x"] as &[&str]), (2, "b", &[]), (2, "c", &[])] {
        fleet.apply_update(at(2_000), agent_update(name, sequence, loaded));
    }
    fleet.on_sent(at(2_000), &id("a"), &demand("x", 3_000));
    queue.push(at(2_000), demand("x", 1_000), Vec::new());
    // The engine with the adapter stays busy with prompts of other entries.
    let busy = |sequence| AgentUpdate {
        others_prompt_tokens: 3_000,
        ..agent_update("a", sequence, &["x"])
    };

    for now in 2_001..3_500 {
        if now % 50 == 0 {
            for name in ["b", "c"] {
                fleet.apply_update(at(now), agent_update(name, now, &[]));
            }
            fleet.apply_update(at(now), busy(now));
        }
        queue.dispatch(at(now), &mut fleet, &local_domain(), |_| Some(&spec));
        assert!(queue.adapter_demand(&id("b")).is_empty(), "a copy is demanded at {now} ms");
        assert!(queue.adapter_demand(&id("c")).is_empty(), "a copy is demanded at {now} ms");
    }
}
