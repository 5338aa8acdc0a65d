//! Responses that are no streams, and whose end is marked by nothing but that of their connection.

mod support;

use std::time::Duration;

use filbertcleat_base::ServiceName;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::RetryPolicy;
use rstest::rstest;
use tokio::time::Instant;

use self::support::Backend;
use self::support::Call;
use self::support::Identity;
use self::support::Script;
use self::support::World;
use self::support::route;
use self::support::world::deployment;

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
        let call = Call { wait_ms: 2_000, ..Call::new("a", "/book/1") };

        let reply = world.caller().await.call(&call).await;

        assert!(matches!(reply.expect("a response").status, 502 | 504));
        assert!(started.elapsed() < Duration::from_millis(2_500), "{:?}", started.elapsed());
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

/// Guards against a body that its server gives up at the deadline, as it was told, and that passes for
/// whole since the server lives on.
#[rstest]
#[case::at_most_once(RetryPolicy::AtMostOnce)]
#[case::idempotent(RetryPolicy::Idempotent)]
fn half_body_at_deadline(#[case] policy: RetryPolicy) {
    World::run(async move {
        let desk = Backend::start("d1", Script::UnframedUntilDeadline { body: "wh" }).await;
        let world = World::start(vec![route("book", policy, 2)], &[&desk]).await;
        let call = Call { wait_ms: 1_000, ..Call::new("a", "/book/1") };

        let reply = world.caller().await.call(&call).await.expect("a response");

        assert_eq!(reply.status, 504, "{reply:?}");
    });
}

/// A server at which requests wait for a slot answers late.
#[test]
fn late_proof_awaited() {
    World::run(async {
        let desk = Backend::start("d1", UNFRAMED).await;
        desk.identify_as(Identity::Late(Duration::from_millis(3_200)));
        let world = World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&desk]).await;
        let call = Call { wait_ms: 9_000, ..Call::new("a", "/book/1") };

        let reply = world.caller().await.call(&call).await;

        assert_eq!(reply.expect("a response").status, 200);
    });
}

/// Guards against a question on a connection that was open before the end: a late answer to an
/// earlier question or request there would show that the server has outlived the end.
#[test]
fn question_has_own_connection() {
    World::run(async {
        let after = Duration::from_millis(50);
        let framed = Script::Respond { status: 200, body: "whole", after };
        let desk = Backend::start("d1", framed).await;
        let world = World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&desk]).await;
        let (mut one, mut two) = (world.caller().await, world.caller().await);
        one.send(&Call::new("a", "/book/1")).await.expect("the entry reads the request");
        two.send(&Call::new("b", "/book/2")).await.expect("the entry reads the request");
        for caller in [&mut one, &mut two] {
            assert_eq!(caller.read_reply().await.expect("a response").status, 200);
        }
        assert_eq!((desk.connections.get(), desk.used_connections.get()), (2, 2));
        desk.set_default(UNFRAMED);

        let reply = one.call(&Call::new("c", "/book/3")).await;

        assert_eq!(reply.expect("a response").status, 200);
        assert_eq!(desk.asked_at.borrow().len(), 1);
        assert_eq!((desk.connections.get(), desk.used_connections.get()), (3, 2));
    });
}

/// A busy server resets new connections for a while.
#[test]
fn resets_outlasted() {
    World::run(async {
        let desk = Backend::start("d1", UNFRAMED).await;
        desk.identify_as(Identity::ClosedFirst(3));
        let world = World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&desk]).await;

        let reply = world.caller().await.call(&Call::new("a", "/book/1")).await;

        assert_eq!(reply.expect("a response").status, 200);
    });
}

/// A configuration may drop a service while a request of it runs.
#[test]
fn dropped_service_asked() {
    World::run(async {
        let after = Duration::from_millis(1_900);
        let script = Script::Delayed { after, script: Box::new(UNFRAMED) };
        let desk = Backend::start("d1", script).await;
        let world = World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&desk]).await;
        let mut caller = world.caller().await;
        caller.send(&Call::new("a", "/book/1")).await.expect("the entry reads the request");
        tokio::time::sleep(Duration::from_millis(100)).await;
        let mut next = deployment(2, Vec::new());
        next.services.remove(&ServiceName::new("desk"));

        world.catalogue.write(CatalogueEvent::Deployment(next));

        let reply = caller.read_reply().await.expect("a response");
        assert_eq!((reply.status, desk.asked_at.borrow().len()), (200, 1));
    });
}
