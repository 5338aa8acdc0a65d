//! The hybrid logical clock.

use filbertcleat_base::HybridClock;
use filbertcleat_base::Timestamp;
use proptest::prelude::*;

#[test]
fn future_timestamp_ignored() {
    let mut clock = HybridClock::default();
    let future = Timestamp { wall_ms: 1_000 + HybridClock::MAX_AHEAD_MS + 1, count: 0 };

    clock.observe(1_000, future);

    assert_eq!(clock.stamp(1_000), Timestamp { wall_ms: 1_000, count: 0 });
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn strictly_increasing(steps in proptest::collection::vec((0u64..100, proptest::option::of((0u64..200, 0u32..5))), 1..50)) {
        let mut clock = HybridClock::default();
        let mut last = Timestamp::default();
        for (wall_ms, received) in steps {
            if let Some((received_ms, count)) = received {
                let received = Timestamp { wall_ms: received_ms, count };
                clock.observe(wall_ms, received);
                last = last.max(received);
            }
            let timestamp = clock.stamp(wall_ms);
            prop_assert!(timestamp > last);
            last = timestamp;
        }
    }
}
