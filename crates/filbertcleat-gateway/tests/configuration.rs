//! Configurations coming into force.

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

const USUAL: Script = Script::Answer { status: 200, body: "yes", after: Duration::ZERO };

async fn status(world: &World, path: &'static str) -> u16 {
    let reply = world.caller().await.call(&Call::new("probe", path)).await;
    reply.expect("an answer").status
}

#[test]
fn none_known_is_refused() {
    World::run(async {
        let world = World::start_with(TestCatalogue::default()).await;
        tokio::time::sleep(Duration::from_millis(100)).await;

        let reply = world.caller().await.call(&Call::new("a", "/book/1")).await;

        let reply = reply.expect("an answer");
        assert_eq!(reply.status, 503, "no route may be said to be missing yet");
        assert!(reply.header("retry-after").is_some());
    });
}

#[test]
fn in_force_within_bound() {
    World::run(async {
        let desk = Backend::start("d1", USUAL).await;
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
fn never_goes_back() {
    World::run(async {
        let desk = Backend::start("d1", USUAL).await;
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
fn outage_keeps_serving() {
    World::run(async {
        let desk = Backend::start("d1", USUAL).await;
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
fn lost_history_is_read_anew() {
    World::run(async {
        let desk = Backend::start("d1", USUAL).await;
        let world = World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&desk]).await;

        world.catalogue.forget();
        let routes = vec![route("new", RetryPolicy::AtMostOnce, 1)];
        world.catalogue.write(CatalogueEvent::Deployment(deployment(2, routes)));
        tokio::time::sleep(Duration::from_secs(2)).await;

        assert_eq!(status(&world, "/new/1").await, 200);
    });
}
