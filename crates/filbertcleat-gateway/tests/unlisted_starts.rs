//! Backend servers that have started again under their id, with other software, before their records
//! show it.

mod support;

use std::time::Duration;

use filbertcleat_base::FailureDomain;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::ListedServer;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::SoftwareVersion;
use rstest::rstest;
use tokio::time::Instant;

use self::support::Backend;
use self::support::Call;
use self::support::Framing;
use self::support::Identity;
use self::support::Script;
use self::support::ScriptedStream;
use self::support::StreamStep;
use self::support::World;
use self::support::backend::event;
use self::support::route;
use self::support::site::LISTING_DELAY;
use self::support::world::listed;

const RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: true };
const NOT_RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: false };
const FIVE_EVENTS: Script = Script::Events { count: 5, pause: Duration::from_millis(20) };
const DOWN: Duration = Duration::from_millis(50);

fn events(numbers: std::ops::RangeInclusive<u64>) -> String {
    numbers.map(event).collect()
}

/// Three events of a stream, after which the server ends and starts again.
fn three_then_restart() -> Script {
    let steps = vec![StreamStep::Events(3), StreamStep::EndServer(DOWN)];
    let framing = Framing::Chunked;
    Script::Stream(ScriptedStream { total: 5, version: "v1", framing, pad_bytes: 0, steps })
}

/// Starts an entry with a resumable route and two backend servers, the second one in another failure
/// domain, so that it is the second choice.
async fn start_with_far(near: &Backend, far: &Backend) -> World {
    let world = World::start(vec![route("write", RESUMABLE, 1)], &[near]).await;
    let record = ListedServer { domain: FailureDomain::new("there"), ..listed(far) };
    world.catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(record)));
    tokio::time::sleep(LISTING_DELAY).await;
    world
}

/// A stream that breaks off with its server goes on at its software version, not at the next start
/// of the server, which has another one.
#[test]
fn broken_stream_keeps_version() {
    World::run(async {
        let restarting = Backend::start("w1", three_then_restart()).await;
        let world = World::start(vec![route("write", RESUMABLE, 3)], &[&restarting]).await;
        let mut caller = world.caller().await;
        caller.send(&Call::new("a", "/write/1")).await.expect("the entry reads the request");
        while restarting.arrivals() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        restarting.identify_as(Identity::Restarted);
        restarting.set_default(FIVE_EVENTS);

        let reply = caller.read_reply().await.expect("a response head");

        assert!(!reply.is_complete, "joined: {}", reply.body);
        assert_eq!(restarting.arrivals(), 1);
    });
}

/// The origin of a stream is the version that began it: none begins at a start whose version is not
/// known.
#[test]
fn new_streams_begin_elsewhere() {
    World::run(async {
        let (near, far) =
            (Backend::start("w1", FIVE_EVENTS).await, Backend::start("w2", FIVE_EVENTS).await);
        near.identify_as(Identity::Restarted);
        let world = start_with_far(&near, &far).await;

        for id in ["a", "b", "c"] {
            let reply = world.caller().await.call(&Call::new(id, "/write/1")).await;
            let reply = reply.expect("a response head");
            assert_eq!((reply.status, reply.body), (200, events(1..=5)));
        }

        assert_eq!((near.arrivals(), far.arrivals()), (0, 3));
        assert_eq!(near.asked_at.borrow().len(), 1);
    });
}

#[test]
fn listed_start_serves_at_once() {
    World::run(async {
        let writer = Backend::start("w1", FIVE_EVENTS).await;
        writer.identify_as(Identity::Restarted);
        let world = World::start(vec![route("write", RESUMABLE, 1)], &[&writer]).await;
        let call = async |id| world.caller().await.call(&Call::new(id, "/write/1")).await;
        assert_eq!(call("a").await.expect("a response").status, 503);
        let software_version = SoftwareVersion::new("v2");
        let record = ListedServer { software_version, started_unix_ms: 2, ..listed(&writer) };
        world.catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(record)));
        tokio::time::sleep(LISTING_DELAY).await;

        let reply = call("b").await.expect("a response");

        assert_eq!((reply.status, reply.body), (200, events(1..=5)));
    });
}

/// Nobody can send another part of a stream that may not be resumed.
#[rstest]
#[case::resumable(RESUMABLE, 1)]
#[case::not_resumable(NOT_RESUMABLE, 0)]
fn connections_asked_once(#[case] policy: RetryPolicy, #[case] questions: usize) {
    World::run(async move {
        let writer = Backend::start("w1", FIVE_EVENTS).await;
        let world = World::start(vec![route("write", policy, 1)], &[&writer]).await;
        let mut caller = world.caller().await;

        for id in ["a", "b", "c"] {
            let reply = caller.call(&Call::new(id, "/write/1")).await.expect("a response head");
            assert!(reply.is_complete);
        }

        assert_eq!(writer.connections.get(), 1);
        assert_eq!(writer.asked_at.borrow().len(), questions);
    });
}

/// Reports may lack the start, which then can't be compared.
#[rstest]
#[case::nameless(Identity::NamelessReport, 200)]
#[case::only_start(Identity::OnlyStart, 200)]
#[case::other(Identity::Other, 503)]
#[case::full(Identity::Full, 503)]
#[case::bad_request(Identity::BadRequest, 503)]
#[case::closed(Identity::Closed, 503)]
fn answers_judged(#[case] identity: Identity, #[case] status: u16) {
    World::run(async move {
        let writer = Backend::start("w1", FIVE_EVENTS).await;
        writer.identify_as(identity);
        let world = World::start(vec![route("write", RESUMABLE, 1)], &[&writer]).await;

        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        assert_eq!(reply.expect("a response").status, status);
        assert_eq!(writer.arrivals(), usize::from(status == 200));
    });
}

/// A request that has not been sent can go elsewhere.
#[test]
fn silent_server_left() {
    World::run(async {
        let (near, far) =
            (Backend::start("w1", FIVE_EVENTS).await, Backend::start("w2", FIVE_EVENTS).await);
        near.identify_as(Identity::Silent);
        let world = start_with_far(&near, &far).await;
        let began_at = Instant::now();

        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        assert_eq!(reply.expect("a response head").body, events(1..=5));
        assert!(began_at.elapsed() < Duration::from_secs(2), "{:?}", began_at.elapsed());
        assert_eq!(near.arrivals(), 0);
    });
}
