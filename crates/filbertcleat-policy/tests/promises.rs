//! The promises under random interleavings of calls, loads, losses and stops.

mod world;

use proptest::prelude::*;

use crate::world::World;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn always_hold(steps in proptest::collection::vec(any::<u16>(), 1..400)) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
            world.check()?;
        }
        world.settle();
        world.check()?;
        prop_assert_eq!(world.open(), 0, "every accepted request ends");
    }
}
