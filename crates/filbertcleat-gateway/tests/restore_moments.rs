//! Restores of the catalogue at any moment between writes and reads.

mod support;

use std::time::Duration;

use filbertcleat_base::AdapterName;
use filbertcleat_base::ModelName;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::AdapterKey;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::RngSeed;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::TestCatalogue;
use self::support::World;
use self::support::route;
use self::support::world::deployment;
use self::support::world::listed;

const RESPONSE: Script = Script::Respond { status: 200, body: "yes", after: Duration::ZERO };
/// Longer than an entry needs to decide on a configuration and to read it: the time to get back in
/// touch and two waits of the operators' topic.
const DECIDED_MS: u64 = 9_000;

/// A step of a day.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The operators write a configuration, numbered that much above the last one.
    Configure(u64),
    /// Rows of no interest are written.
    Fill(usize),
    Wait(u64),
    Restore(Restore),
}

/// A restore of the catalogue.
#[derive(Clone, Copy, Debug)]
struct Restore {
    lost_rows: usize,
    away_ms: u64,
    /// When the operators and the server write again, after the catalogue is back.
    write_after_ms: u64,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let restore = (0..12_usize, 0..2_500_u64, 0..1_500_u64).prop_map(
        |(lost_rows, away_ms, write_after_ms)| {
            Step::Restore(Restore { lost_rows, away_ms, write_after_ms })
        },
    );
    let step = prop_oneof![
        3 => (1..4_u64).prop_map(Step::Configure),
        2 => (1..6_usize).prop_map(Step::Fill),
        3 => (0..3_000_u64).prop_map(Step::Wait),
        2 => restore,
    ];
    vec(step, 1..14)
}

/// The operators, a backend server and an entry that follows the catalogue.
struct Day {
    world: World,
    server: CatalogueEvent,
    /// The configurations that operators have written, by number and name of their route.
    written: Vec<(u64, String)>,
}

impl Day {
    async fn start(backend: &Backend) -> Self {
        let world = World::start_with_catalogue(TestCatalogue::with_epoch(1)).await;
        let server = CatalogueEvent::Listing(ListingChange::Upserted(listed(backend)));
        let mut day = Self { world, server, written: Vec::new() };
        day.configure(1);
        day.world.catalogue.write(day.server.clone());
        wait(2_000).await;
        day
    }

    /// Writes a configuration with a route that no other one has.
    fn configure(&mut self, version: u64) {
        let name = format!("c{}", self.written.len());
        self.written.push((version, name));
        self.write_last();
    }

    fn write_last(&self) {
        let (version, name) = self.written.last().expect("one was written at the start");
        let routes = vec![route(name, RetryPolicy::AtMostOnce, 1)];
        self.world.catalogue.write(CatalogueEvent::Deployment(deployment(*version, routes)));
    }

    fn last_version(&self) -> u64 {
        self.written.last().map_or(0, |(version, _)| *version)
    }

    fn fill(&self, rows: usize) {
        let key = AdapterKey { model: ModelName::new("base"), adapter: AdapterName::new("x") };
        for _ in 0..rows {
            self.world
                .catalogue
                .write(CatalogueEvent::AdapterVersion { key: key.clone(), version: 1 });
        }
    }

    async fn restore(&self, restore: Restore) {
        let catalogue = &self.world.catalogue;
        catalogue.set_down(true);
        wait(restore.away_ms).await;
        catalogue.restore(catalogue.version().saturating_sub(restore.lost_rows));
        catalogue.set_down(false);
        wait(restore.write_after_ms).await;
        catalogue.write(self.server.clone());
    }

    async fn version_in_force(&self) -> u64 {
        let version = self.world.metric("filbertcleat_configuration_version").await;
        version.expect("the metric is served")
    }

    async fn status_of_last(&self) -> u16 {
        let (_, name) = self.written.last().expect("one was written at the start");
        let path: &'static str = Box::leak(format!("/{name}/1").into_boxed_str());
        let reply = self.world.caller().await.call(&Call::new("probe", path)).await;
        reply.expect("a response").status
    }

    async fn assert_server_usable(&self) {
        let usable = self.world.metric("filbertcleat_servers{are=\"usable\"}").await;
        assert_eq!(usable, Some(1), "a missing record does not remove a live server");
    }
}

async fn wait(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, rng_seed: RngSeed::Fixed(24), ..ProptestConfig::default() })]

    /// If the operators write again what was lost, no older configuration comes back, the last one
    /// comes into force, and the server is used throughout.
    #[test]
    fn lost_writes_repeated(steps in steps()) {
        World::run(async {
            let desk = Backend::start("d1", RESPONSE).await;
            let mut day = Day::start(&desk).await;
            let mut newest = 0;
            for step in steps {
                match step {
                    Step::Configure(above) => day.configure(day.last_version() + above),
                    Step::Fill(rows) => day.fill(rows),
                    Step::Wait(ms) => wait(ms).await,
                    Step::Restore(restore) => {
                        day.restore(restore).await;
                        day.write_last();
                    }
                }
                let version = day.version_in_force().await;
                assert!(version >= newest, "version {version} after {newest}");
                newest = version;
                day.assert_server_usable().await;
            }
            wait(DECIDED_MS).await;
            assert_eq!(day.version_in_force().await, day.last_version());
            assert_eq!(day.status_of_last().await, 200);
        });
    }

    /// If the operators go on from what the restored catalogue has, and assign its lost numbers
    /// again, their last configuration comes into force all the same.
    #[test]
    fn lost_versions_reissued(steps in steps(), above in 1..4_u64) {
        World::run(async {
            let desk = Backend::start("d1", RESPONSE).await;
            let mut day = Day::start(&desk).await;
            for step in steps {
                match step {
                    Step::Configure(above) => {
                        let version = day.world.catalogue.configuration_version() + above;
                        day.configure(version);
                    }
                    Step::Fill(rows) => day.fill(rows),
                    Step::Wait(ms) => wait(ms).await,
                    Step::Restore(restore) => day.restore(restore).await,
                }
                day.assert_server_usable().await;
            }
            // What is written before the first list after a restore counts as part of the copy.
            wait(DECIDED_MS).await;
            let version = day.world.catalogue.configuration_version() + above;
            day.configure(version);
            wait(DECIDED_MS).await;
            assert_eq!(day.status_of_last().await, 200);
        });
    }
}
