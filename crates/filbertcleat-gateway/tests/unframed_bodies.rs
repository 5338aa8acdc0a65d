//! Responses that are no streams, and whose end is marked by nothing but that of their connection.

mod support;

use std::time::Duration;

use filbertcleat_serve::RetryPolicy;
use rstest::rstest;
use tokio::time::Instant;

use self::support::Backend;
use self::support::Call;
use self::support::Identity;
use self::support::Script;
use self::support::World;
use self::support::route;

const RESPONSE: Script = Script::Respond { status: 200, body: "whole", after: Duration::ZERO };
const HALF_THEN_END: Script = Script::UnframedThenEnd {
    body: "wh",
    after: Duration::from_millis(50),
    down: Duration::from_secs(5),
};
const UNFRAMED: Script = Script::Unframed { body: "whole" };

/// A process that ends closes its connections in order, also within a body.
#[test]
fn half_body_retried() {
    World::run(async {
        let (one, two) =
            (Backend::start("d1", RESPONSE).await, Backend::start("d2", RESPONSE).await);
        one.script_next(HALF_THEN_END);
        let routes = vec![route("cancel", RetryPolicy::Idempotent, 2)];
        let world = World::start(routes, &[&one, &two]).await;

        let mut caller = world.caller().await;
        for id in ["a", "b", "c"] {
            let reply = caller.call(&Call::new(id, "/cancel/1")).await.expect("a response");
            assert_eq!((reply.status, reply.body.as_str()), (200, "whole"));
        }
        assert_eq!(one.crashes.get(), 1);
    });
}

#[test]
fn half_body_not_forwarded() {
    World::run(async {
        let desk = Backend::start("d1", HALF_THEN_END).await;
        let world = World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&desk]).await;

        let reply = world.caller().await.call(&Call::new("a", "/book/1")).await;

        assert_eq!(reply.expect("a response").status, 502);
        assert_eq!(desk.arrivals(), 1);
    });
}

#[rstest]
#[case::other(Identity::Other)]
#[case::restarted(Identity::Restarted)]
#[case::silent(Identity::Silent)]
#[case::closed(Identity::Closed)]
fn unproven_body_not_forwarded(#[case] identity: Identity) {
    World::run(async {
        let desk = Backend::start("d1", UNFRAMED).await;
        desk.identify_as(identity);
        let world = World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&desk]).await;
        let started = Instant::now();

        let reply = world.caller().await.call(&Call::new("a", "/book/1")).await;

        assert!(matches!(reply.expect("a response").status, 502 | 504));
        assert!(started.elapsed() < Duration::from_secs(4), "{:?}", started.elapsed());
    });
}

#[rstest]
#[case::own(Identity::Own)]
#[case::full(Identity::Full)]
fn living_server_believed(#[case] identity: Identity) {
    World::run(async {
        let desk = Backend::start("d1", UNFRAMED).await;
        desk.identify_as(identity);
        let world = World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&desk]).await;
        let started = Instant::now();

        let reply = world.caller().await.call(&Call::new("a", "/book/1")).await;

        let reply = reply.expect("a response");
        assert_eq!((reply.status, reply.body.as_str()), (200, "whole"));
        assert!(started.elapsed() <= Duration::from_millis(100), "{:?}", started.elapsed());
        assert_eq!(desk.asked_at.borrow().len(), 1);
    });
}

#[test]
fn framed_body_not_asked() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let world = World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&desk]).await;

        let reply = world.caller().await.call(&Call::new("a", "/book/1")).await;

        assert_eq!(reply.expect("a response").status, 200);
        assert_eq!(desk.asked_at.borrow().len(), 0);
    });
}
