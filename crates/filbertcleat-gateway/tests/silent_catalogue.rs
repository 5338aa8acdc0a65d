//! What an entry does after its open connections to the catalogue have gone silent.

mod support;

use std::time::Duration;

use filbertcleat_gateway::CatalogueDelays;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_gateway::Topic;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use rstest::rstest;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::TestCatalogue;
use self::support::World;
use self::support::route;
use self::support::world::deployment;
use self::support::world::listed;

const RESPONSE: Script = Script::Respond { status: 200, body: "yes", after: Duration::ZERO };

fn write_routes(catalogue: &TestCatalogue, version: u64, name: &str) {
    let routes = vec![route(name, RetryPolicy::AtMostOnce, 1)];
    catalogue.write(CatalogueEvent::Deployment(deployment(version, routes)));
}

async fn status(world: &World, path: &'static str) -> u16 {
    let reply = world.caller().await.call(&Call::new("probe", path)).await;
    reply.expect("a response").status
}

/// Guards against requests that are handled as a former configuration allows although the entry is in
/// touch again and the configuration that it has not read should be in force.
#[rstest]
#[case::small(3_000, 2_000)]
#[case::grown(4_000, 3_000)]
#[case::large(5_000, 4_000)]
#[case::short_contact(2_000, 4_000)]
#[case::long_contact(5_000, 2_000)]
fn configuration_read_in_touch(
    #[case] contact_ms: u64,
    #[case] configuration_ms: u64,
    #[values(0, 100, 1_500)] silent_after_ms: u64,
) {
    World::run(async move {
        let desk = Backend::start("d1", RESPONSE).await;
        let delays = CatalogueDelays { configuration_ms, draining_ms: 2_000, contact_ms };
        let world = World::start_with_delays(TestCatalogue::default(), delays).await;
        world.catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(listed(&desk))));
        write_routes(&world.catalogue, 1, "old");
        tokio::time::sleep(Duration::from_secs(4)).await;
        // A change ends the open call, so that the next one has just begun.
        write_routes(&world.catalogue, 2, "old");
        tokio::time::sleep(Duration::from_millis(25 + silent_after_ms)).await;
        assert_eq!(status(&world, "/old/1").await, 200);

        world.catalogue.silence_open_calls(Topic::Operators);
        write_routes(&world.catalogue, 3, "new");
        tokio::time::sleep(Duration::from_millis(contact_ms.max(configuration_ms))).await;

        assert_eq!(status(&world, "/new/1").await, 200);
        assert_eq!(status(&world, "/old/1").await, 404);
    });
}
