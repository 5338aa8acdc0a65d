//! Checks the guarantees to callers under random interleavings of messages, loads, connection
//! failures and drains.
//!
//! Guards against lost, truncated or duplicated answers, repeated runs of non-idempotent requests,
//! evictions of adapters in use and calls started while draining.

mod cluster;

use proptest::prelude::*;

use crate::cluster::Cluster;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold(steps in proptest::collection::vec(any::<u16>(), 1..400)) {
        let mut cluster = Cluster::new();
        for step in steps {
            cluster.step(step);
            cluster.check_invariants()?;
        }
        cluster.run_until_idle();
        cluster.check_invariants()?;
        prop_assert_eq!(cluster.open_requests(), 0, "every accepted request ends");
    }
}
