//! How an entry applies configurations from the catalogue.

mod support;

use std::time::Duration;

use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::RetryPolicy;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::TestCatalogue;
use self::support::World;
use self::support::route;
use self::support::world::deployment;

const RESPONSE: Script = Script::Respond { status: 200, body: "yes", after: Duration::ZERO };

async fn status(world: &World, path: &'static str) -> u16 {
    let reply = world.caller().await.call(&Call::new("probe", path)).await;
    reply.expect("a response").status
}

#[test]
fn refused_without_configuration() {
    World::run(async {
        let world = World::start_with_catalogue(TestCatalogue::default()).await;
        tokio::time::sleep(Duration::from_millis(100)).await;

        let reply = world.caller().await.call(&Call::new("a", "/book/1")).await;

        let reply = reply.expect("a response");
        assert_eq!(reply.status, 503, "a missing configuration is not a missing route");
        assert!(reply.header("retry-after").is_some());
    });
}

#[test]
fn applied_within_bound() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let world = World::start(vec![route("old", RetryPolicy::AtMostOnce, 1)], &[&desk]).await;
        assert_eq!(status(&world, "/new/1").await, 404);

        let routes = vec![route("new", RetryPolicy::AtMostOnce, 1)];
        world.catalogue.write(CatalogueEvent::Deployment(deployment(2, routes)));
        tokio::time::sleep(Duration::from_millis(1_500)).await;

        assert_eq!(status(&world, "/new/1").await, 200);
        assert_eq!(status(&world, "/old/1").await, 404);
    });
}

#[test]
fn version_is_monotonic() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let world = World::start(vec![route("old", RetryPolicy::AtMostOnce, 1)], &[&desk]).await;
        let newer = deployment(7, vec![route("new", RetryPolicy::AtMostOnce, 1)]);
        world.catalogue.write(CatalogueEvent::Deployment(newer));
        let older = deployment(5, vec![route("old", RetryPolicy::AtMostOnce, 1)]);
        world.catalogue.write(CatalogueEvent::Deployment(older));
        tokio::time::sleep(Duration::from_secs(2)).await;

        assert_eq!(status(&world, "/new/1").await, 200);
        assert_eq!(status(&world, "/old/1").await, 404);
    });
}

#[test]
fn catalogue_outage_tolerated() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let world = World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&desk]).await;

        world.catalogue.set_down(true);
        tokio::time::sleep(Duration::from_secs(20)).await;
        assert_eq!(status(&world, "/book/1").await, 200);

        world.catalogue.set_down(false);
        let routes = vec![route("new", RetryPolicy::AtMostOnce, 1)];
        world.catalogue.write(CatalogueEvent::Deployment(deployment(2, routes)));
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(status(&world, "/new/1").await, 200);
    });
}

#[test]
fn expired_cursor_relists() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let world = World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&desk]).await;

        world.catalogue.expire_cursors();
        let routes = vec![route("new", RetryPolicy::AtMostOnce, 1)];
        world.catalogue.write(CatalogueEvent::Deployment(deployment(2, routes)));
        tokio::time::sleep(Duration::from_secs(2)).await;

        assert_eq!(status(&world, "/new/1").await, 200);
    });
}
