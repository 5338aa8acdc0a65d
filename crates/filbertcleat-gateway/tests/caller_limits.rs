//! How limits of a new configuration apply to connections that are already open.

mod support;

use std::time::Duration;

use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::CallerLimits;
use filbertcleat_serve::Deployment;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;

use self::support::Backend;
use self::support::Call;
use self::support::Caller;
use self::support::Script;
use self::support::TestCatalogue;
use self::support::World;
use self::support::route;
use self::support::world::deployment;
use self::support::world::listed;

const RESPONSE: Script = Script::Respond { status: 200, body: "yes", after: Duration::ZERO };
/// The time within which an entry of these tests applies a configuration.
const APPLY_TIME: Duration = Duration::from_secs(2);

fn limited(version: u64, limits: CallerLimits) -> Deployment {
    let routes = vec![route("book", RetryPolicy::AtMostOnce, 1)];
    Deployment { limits, ..deployment(version, routes) }
}

async fn start_with(limits: CallerLimits) -> World {
    let desk = Backend::start("d1", RESPONSE).await;
    let world = World::start(Vec::new(), &[&desk]).await;
    apply(&world, 2, limits).await;
    world
}

async fn apply(world: &World, version: u64, limits: CallerLimits) {
    world.catalogue.write(CatalogueEvent::Deployment(limited(version, limits)));
    tokio::time::sleep(APPLY_TIME).await;
}

async fn status(caller: &mut Caller) -> Option<u16> {
    let reply = caller.call(&Call::new("a", "/book/1")).await;
    reply.map(|reply| reply.status)
}

fn idle_timeout(seconds: u64) -> CallerLimits {
    CallerLimits { idle_timeout_ms: seconds * 1_000, ..CallerLimits::default() }
}

fn header_max(bytes: usize) -> CallerLimits {
    CallerLimits { header_max_bytes: bytes, ..CallerLimits::default() }
}

fn header_timeout(seconds: u64) -> CallerLimits {
    CallerLimits { header_timeout_ms: seconds * 1_000, ..CallerLimits::default() }
}

fn long_head(bytes: usize) -> String {
    let padding = "x".repeat(bytes);
    format!("GET /book/1 HTTP/1.1\r\nhost: desk.example\r\nx-id: a\r\nx-padding: {padding}\r\n\r\n")
}

#[test]
fn raised_idle_timeout() {
    World::run(async {
        let world = start_with(idle_timeout(3)).await;
        let mut caller = world.caller().await;
        assert_eq!(status(&mut caller).await, Some(200));

        apply(&world, 3, idle_timeout(20)).await;
        assert_eq!(status(&mut caller).await, Some(200));
        tokio::time::sleep(Duration::from_secs(16)).await;

        assert_eq!(status(&mut caller).await, Some(200), "reused after four fifths of the limit");
    });
}

#[test]
fn lowered_idle_timeout() {
    World::run(async {
        let world = start_with(idle_timeout(20)).await;
        let mut caller = world.caller().await;
        assert_eq!(status(&mut caller).await, Some(200));

        apply(&world, 3, idle_timeout(2)).await;
        tokio::time::sleep(Duration::from_secs(13)).await;
        assert_eq!(status(&mut caller).await, Some(200), "reused by the older limit");

        tokio::time::sleep(Duration::from_secs(10)).await;
        assert_eq!(status(&mut caller).await, Some(200), "the older limit still counts");
        assert!(caller.ends_within(Duration::from_secs(4)).await, "the newer limit is in force");
    });
}

#[test]
fn twice_lowered_timeout() {
    World::run(async {
        let world = start_with(idle_timeout(20)).await;
        let mut caller = world.caller().await;
        assert_eq!(status(&mut caller).await, Some(200));

        apply(&world, 3, idle_timeout(10)).await;
        apply(&world, 4, idle_timeout(2)).await;
        tokio::time::sleep(Duration::from_secs(11)).await;

        assert_eq!(status(&mut caller).await, Some(200), "reused by the oldest limit");
    });
}

#[test]
fn early_connection_limits() {
    World::run(async {
        let catalogue = TestCatalogue::default();
        let world = World::start_with_catalogue(catalogue).await;
        let desk = Backend::start("d1", RESPONSE).await;
        let listing = ListingChange::Upserted(listed(&desk));
        world.catalogue.write(CatalogueEvent::Listing(listing));
        let mut caller = world.caller().await;
        assert_eq!(status(&mut caller).await, Some(503), "no configuration yet");

        apply(&world, 1, idle_timeout(40)).await;
        tokio::time::sleep(Duration::from_secs(30)).await;

        assert_eq!(status(&mut caller).await, Some(200));
    });
}

#[test]
fn raised_header_size() {
    World::run(async {
        let world = start_with(header_max(16_384)).await;
        let mut caller = world.caller().await;
        assert_eq!(status(&mut caller).await, Some(200));

        apply(&world, 3, header_max(65_536)).await;
        caller.send_bytes(long_head(30_000).as_bytes()).await.expect("the entry reads the head");

        let reply = caller.read_reply().await.expect("a response");
        assert_eq!(reply.status, 200);
    });
}

#[test]
fn lowered_header_size() {
    World::run(async {
        let world = start_with(header_max(65_536)).await;
        let mut caller = world.caller().await;
        assert_eq!(status(&mut caller).await, Some(200));

        apply(&world, 3, header_max(16_384)).await;
        caller.send_bytes(long_head(30_000).as_bytes()).await.expect("the entry reads the head");

        let reply = caller.read_reply().await.expect("a response");
        assert_eq!(reply.status, 431);
    });
}

#[test]
fn raised_header_timeout() {
    World::run(async {
        let world = start_with(header_timeout(2)).await;
        let mut caller = world.caller().await;
        assert_eq!(status(&mut caller).await, Some(200));

        apply(&world, 3, header_timeout(10)).await;
        let text = Call::new("b", "/book/1").text();
        let (start, rest) = text.split_at(20);
        caller.send_bytes(start.as_bytes()).await.expect("the entry reads the start");
        tokio::time::sleep(Duration::from_secs(6)).await;
        caller.send_bytes(rest.as_bytes()).await.expect("the entry reads the rest");

        assert_eq!(caller.read_reply().await.expect("a response").status, 200);
    });
}
