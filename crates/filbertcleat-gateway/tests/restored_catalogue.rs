//! How an entry follows a catalogue that is restored from a copy.

mod support;

use std::time::Duration;

use filbertcleat_base::AdapterName;
use filbertcleat_base::ModelName;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_gateway::Topic;
use filbertcleat_serve::AdapterKey;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::TestCatalogue;
use self::support::World;
use self::support::route;
use self::support::world::deployment;
use self::support::world::listed;

const RESPONSE: Script = Script::Respond { status: 200, body: "yes", after: Duration::ZERO };
/// The time in which an entry has to apply a configuration.
const CONFIGURATION_BOUND: Duration = Duration::from_secs(2);

fn configuration(version: u64, name: &str) -> CatalogueEvent {
    let routes = vec![route(name, RetryPolicy::AtMostOnce, 1)];
    CatalogueEvent::Deployment(deployment(version, routes))
}

fn adapter_version(version: u64) -> CatalogueEvent {
    let key = AdapterKey { model: ModelName::new("base"), adapter: AdapterName::new("x") };
    CatalogueEvent::AdapterVersion { key, version }
}

fn server(backend: &Backend) -> CatalogueEvent {
    CatalogueEvent::Listing(ListingChange::Upserted(listed(backend)))
}

/// Starts an entry that knows a server and a configuration with the route `old`.
async fn start(backend: &Backend) -> World {
    let world = World::start_with_catalogue(TestCatalogue::with_epoch(1)).await;
    world.catalogue.write(configuration(1, "old"));
    world.catalogue.write(server(backend));
    tokio::time::sleep(CONFIGURATION_BOUND).await;
    assert_eq!(status(&world, "/old/1").await, 200);
    world
}

async fn status(world: &World, path: &'static str) -> u16 {
    let reply = world.caller().await.call(&Call::new("probe", path)).await;
    reply.expect("a response").status
}

/// Writes rows that are of no interest, and returns the version that the entry has read up to.
async fn read_rows(world: &World) -> usize {
    (1..=3).for_each(|version| world.catalogue.write(adapter_version(version)));
    tokio::time::sleep(CONFIGURATION_BOUND).await;
    world.catalogue.version()
}

/// Writes a configuration at a version of the catalogue that the entry has read before, and further
/// rows up to a version that it has not read.
fn write_reissued(catalogue: &TestCatalogue, read_up_to: usize) {
    catalogue.write(configuration(2, "new"));
    while catalogue.version() <= read_up_to {
        catalogue.write(adapter_version(1));
    }
}

#[test]
fn reissued_version_read() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let world = start(&desk).await;
        let copy = world.catalogue.version();
        let read_up_to = read_rows(&world).await;

        world.catalogue.restore(copy);
        write_reissued(&world.catalogue, read_up_to);
        tokio::time::sleep(CONFIGURATION_BOUND).await;

        assert_eq!(status(&world, "/new/1").await, 200);
    });
}

#[test]
fn other_topic_relists() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let world = start(&desk).await;

        world.catalogue.silence_open_calls(Topic::Operators);
        world.catalogue.restore(world.catalogue.version());
        world.catalogue.write(configuration(2, "new"));
        tokio::time::sleep(CONFIGURATION_BOUND).await;

        assert_eq!(status(&world, "/new/1").await, 200);
    });
}

#[test]
fn failed_call_relists() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let world = start(&desk).await;
        let copy = world.catalogue.version();
        let read_up_to = read_rows(&world).await;

        world.catalogue.set_down(true);
        world.catalogue.restore(copy);
        tokio::time::sleep(Duration::from_secs(4)).await;
        write_reissued(&world.catalogue, read_up_to);
        world.catalogue.set_down(false);
        tokio::time::sleep(CONFIGURATION_BOUND).await;

        assert_eq!(status(&world, "/new/1").await, 200);
        assert_eq!(world.metric("filbertcleat_catalogue_restores").await, Some(1));
    });
}

#[test]
fn older_configuration_kept_out() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let world = start(&desk).await;
        let copy = world.catalogue.version();
        world.catalogue.write(configuration(2, "new"));
        tokio::time::sleep(CONFIGURATION_BOUND).await;

        world.catalogue.restore(copy);
        tokio::time::sleep(Duration::from_secs(20)).await;

        assert_eq!(status(&world, "/new/1").await, 200);
        assert_eq!(status(&world, "/old/1").await, 404);
    });
}

#[test]
fn reissued_configuration_applied() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let world = start(&desk).await;
        let copy = world.catalogue.version();
        world.catalogue.write(configuration(2, "lost"));
        tokio::time::sleep(CONFIGURATION_BOUND).await;

        world.catalogue.restore(copy);
        tokio::time::sleep(CONFIGURATION_BOUND).await;
        world.catalogue.write(configuration(2, "new"));
        tokio::time::sleep(CONFIGURATION_BOUND).await;

        assert_eq!(status(&world, "/new/1").await, 200);
        assert_eq!(status(&world, "/lost/1").await, 404);
    });
}

#[test]
fn lower_configuration_decided() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let world = start(&desk).await;
        let copy = world.catalogue.version();
        world.catalogue.write(configuration(9, "lost"));
        tokio::time::sleep(CONFIGURATION_BOUND).await;

        world.catalogue.restore(copy);
        tokio::time::sleep(Duration::from_millis(500)).await;
        world.catalogue.write(configuration(5, "new"));
        tokio::time::sleep(CONFIGURATION_BOUND).await;
        assert_eq!(status(&world, "/lost/1").await, 200, "it may be written again");
        tokio::time::sleep(Duration::from_secs(4)).await;

        assert_eq!(status(&world, "/new/1").await, 200);
    });
}

#[test]
fn missing_server_kept() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let world = World::start_with_catalogue(TestCatalogue::with_epoch(1)).await;
        world.catalogue.write(configuration(1, "old"));
        let copy = world.catalogue.version();
        world.catalogue.write(server(&desk));
        tokio::time::sleep(CONFIGURATION_BOUND).await;

        world.catalogue.restore(copy);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        assert_eq!(status(&world, "/old/1").await, 200, "the server had no time to write again");
        world.catalogue.write(server(&desk));
        tokio::time::sleep(Duration::from_secs(5)).await;
        assert_eq!(status(&world, "/old/1").await, 200);

        world.catalogue.restore(copy);
        tokio::time::sleep(Duration::from_secs(5)).await;
        assert_eq!(status(&world, "/old/1").await, 503, "the server did not write again");
    });
}

#[test]
fn outdated_answer_ignored() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let world = start(&desk).await;
        world.catalogue.restore(world.catalogue.version());
        tokio::time::sleep(CONFIGURATION_BOUND).await;

        world.catalogue.answer_outdated(configuration(9, "lost"));
        tokio::time::sleep(Duration::from_secs(5)).await;

        assert_eq!(status(&world, "/lost/1").await, 404);
        assert_eq!(status(&world, "/old/1").await, 200);
        assert_eq!(world.metric("filbertcleat_catalogue_restores").await, Some(1));
    });
}

#[test]
fn unnumbered_catalogue_followed() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let world = World::start(vec![route("old", RetryPolicy::AtMostOnce, 1)], &[&desk]).await;
        let copy = world.catalogue.version();

        world.catalogue.write(configuration(2, "new"));
        tokio::time::sleep(CONFIGURATION_BOUND).await;

        assert!(world.catalogue.version() > copy);
        assert_eq!(status(&world, "/new/1").await, 200);
        assert_eq!(world.metric("filbertcleat_catalogue_restores").await, None);
    });
}
