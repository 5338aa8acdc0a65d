//! Backend servers whose responses have no valid status.

mod support;

use std::time::Duration;

use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use rstest::rstest;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::World;
use self::support::route;
use self::support::world::listed;

/// Guards against a response without a valid status that reaches the caller as the response.
#[rstest]
fn invalid_status_withheld(
    #[values("000", "001", "099", "101", "102", "199", "600", "777", "999", "1000", "2x0", "-1")]
    status: &'static str,
    #[values("", "x-seal: s\r\n", "x-seal: s\r\nx-not-run: 1\r\n")] lines: &'static str,
    #[values(RetryPolicy::AtMostOnce, RetryPolicy::Stream { resumable: false })] kind: RetryPolicy,
) {
    World::run(async move {
        // The service of streams has servers with other names.
        let id = if kind == RetryPolicy::AtMostOnce { "d1" } else { "w1" };
        let server = Backend::start(id, Script::StatusText { status, lines }).await;
        let world = World::start(vec![route("book", kind, 1)], &[&server]).await;
        let mut caller = world.caller().await;

        let reply = caller.call(&Call::new("a", "/book/1")).await.expect("a response");

        assert_eq!(reply.status, 502, "{reply:?}");
        assert_eq!(reply.header("x-seal"), None);
        assert_eq!(server.arrivals(), 1);
    });
}

/// Guards against a response without a valid status that ends a request which another server can
/// answer.
#[rstest]
fn invalid_status_retried(#[values("000", "199", "600", "999")] status: &'static str) {
    World::run(async move {
        let lines = "x-seal: s\r\n";
        let troubled = Backend::start("d1", Script::StatusText { status, lines }).await;
        let routes = vec![route("read", RetryPolicy::Idempotent, 2)];
        let world = World::start(routes, &[&troubled]).await;
        let sound = Script::Respond { status: 200, body: "yes", after: Duration::ZERO };
        let sound = Backend::start("d2", sound).await;
        world.catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(listed(&sound))));
        tokio::time::sleep(Duration::from_secs(2)).await;

        for _ in 0..8 {
            let call = Call::new("a", "/read/1");
            let reply = world.caller().await.call(&call).await.expect("a response");
            assert_eq!((reply.status, reply.body.as_str()), (200, "yes"));
        }

        assert!(troubled.arrivals() > 0, "the troubled server was asked");
    });
}
