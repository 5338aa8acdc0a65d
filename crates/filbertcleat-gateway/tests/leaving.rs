//! Backend servers that announce in their answers that they are leaving.

mod support;

use std::time::Duration;

use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::ListedServer;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::ServerId;
use rstest::rstest;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::World;
use self::support::route;
use self::support::world::listed;

const LEAVING: &str = "x-leaving: 1\r\n";
const RESPONSE: Script = Script::Respond { status: 200, body: "freed", after: Duration::ZERO };
const EVENTS: Script = Script::Events { count: 20, pause: Duration::from_millis(100) };
const STREAM: RetryPolicy = RetryPolicy::Stream { resumable: false };

/// Sends requests one after another.
async fn send(world: &World, requests: usize) {
    for _ in 0..requests {
        world.caller().await.call(&Call::new("q7", "/cancel/1")).await.expect("a response");
    }
}

#[rstest]
#[case::whole_answer(RESPONSE)]
#[case::failure(Script::Respond { status: 500, body: "no", after: Duration::ZERO })]
#[case::not_found(Script::Respond { status: 404, body: "no", after: Duration::ZERO })]
#[case::misdirected(Script::Respond { status: 421, body: "no", after: Duration::ZERO })]
#[case::refusal(Script::NotRun)]
#[case::foreign_id(Script::ForeignId)]
#[case::unsealed(Script::Unsealed)]
fn mark_read(#[case] script: Script) {
    World::run(async {
        let leaving = Backend::start("d1", RESPONSE).await;
        let staying = Backend::start("d2", RESPONSE).await;
        let routes = vec![route("cancel", RetryPolicy::Idempotent, 2)];
        let world = World::start(routes, &[&leaving, &staying]).await;
        leaving.script_next(script.with_headers(LEAVING));

        send(&world, 1).await;
        assert_eq!(leaving.arrivals(), 1, "the leaving server has answered");
        // Longer than any backoff after a failure.
        tokio::time::sleep(Duration::from_secs(10)).await;
        send(&world, 40).await;

        assert_eq!(leaving.arrivals(), 1);
        assert_eq!(world.metric("filbertcleat_servers{are=\"leaving\"}").await, Some(1));
        assert_eq!(world.metric("filbertcleat_leaving{by=\"answer\"}").await, Some(1));
    });
}

/// The mark is in the head of a stream, which is known long before the stream ends.
#[test]
fn mark_of_stream() {
    World::run(async {
        let leaving = Backend::start("w1", EVENTS.with_headers(LEAVING)).await;
        let staying = Backend::start("w2", EVENTS).await;
        let world = World::start(vec![route("write", STREAM, 1)], &[&leaving, &staying]).await;

        let mut first = world.caller().await;
        first.send(&Call::new("a", "/write/1")).await.expect("sent");
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert_eq!((leaving.arrivals(), staying.arrivals()), (1, 0));
        for _ in 0..6 {
            world.caller().await.call(&Call::new("b", "/write/1")).await.expect("a response");
        }

        assert_eq!((leaving.arrivals(), staying.arrivals()), (1, 6));
        let reply = first.read_reply().await.expect("a response");
        assert!(reply.is_complete, "the running stream goes on");
    });
}

#[test]
fn rows_keep_mark() {
    World::run(async {
        let leaving = Backend::start("d1", RESPONSE.with_headers(LEAVING)).await;
        let staying = Backend::start("d2", RESPONSE).await;
        let routes = vec![route("cancel", RetryPolicy::Idempotent, 2)];
        let world = World::start(routes, &[&leaving, &staying]).await;
        send(&world, 1).await;

        let row = || listed(&leaving);
        for change in [
            ListingChange::Upserted(row()),
            ListingChange::Removed(row().id),
            ListingChange::Upserted(row()),
            ListingChange::Snapshot(vec![listed(&staying)]),
            ListingChange::Snapshot(vec![row(), listed(&staying)]),
        ] {
            world.catalogue.write(CatalogueEvent::Listing(change));
            tokio::time::sleep(Duration::from_secs(2)).await;
            send(&world, 10).await;
            assert_eq!(leaving.arrivals(), 1);
        }
        world.catalogue.set_down(true);
        tokio::time::sleep(Duration::from_secs(5)).await;
        send(&world, 10).await;
        assert_eq!(leaving.arrivals(), 1);
    });
}

/// The mark belongs to one start of a server: the next one at the same address is free of it.
#[rstest]
#[case::new_id("d9", 1)]
#[case::same_id("d1", 2)]
fn new_start_is_free(#[case] id: &str, #[case] started_unix_ms: u64) {
    World::run(async {
        let server = Backend::start("d1", RESPONSE).await;
        let routes = vec![route("cancel", RetryPolicy::Idempotent, 2)];
        let world = World::start(routes, &[&server]).await;
        server.script_next(RESPONSE.with_headers(LEAVING));
        send(&world, 3).await;
        assert_eq!(server.arrivals(), 1);

        let next = ListedServer { id: ServerId::new(id), started_unix_ms, ..listed(&server) };
        world.catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(next)));
        tokio::time::sleep(Duration::from_secs(2)).await;
        send(&world, 3).await;

        assert_eq!(server.arrivals(), 4);
    });
}
