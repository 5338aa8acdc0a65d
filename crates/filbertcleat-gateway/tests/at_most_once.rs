//! Requests that may run at most once.

mod support;

use std::time::Duration;

use filbertcleat_serve::RetryPolicy;
use rstest::rstest;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::World;
use self::support::route;

const RESPONSE: Script =
    Script::Respond { status: 200, body: "confirmed", after: Duration::from_millis(60) };

#[rstest]
#[case::closed(Script::Close, 502)]
#[case::foreign_id(Script::ForeignId, 502)]
#[case::unsealed(Script::Unsealed, 502)]
#[case::silent(Script::Silent, 504)]
#[case::failed(Script::Respond { status: 500, body: "no", after: Duration::ZERO }, 500)]
fn never_sent_twice(#[case] script: Script, #[case] status: u16) {
    World::run(async {
        let (one, two) =
            (Backend::start("d1", RESPONSE).await, Backend::start("d2", RESPONSE).await);
        let world =
            World::start(vec![route("book", RetryPolicy::AtMostOnce, 3)], &[&one, &two]).await;
        one.script_next(script.clone());
        two.script_next(script);

        let reply = world.caller().await.call(&Call::new("a", "/book/1")).await;

        assert_eq!(reply.expect("a response").status, status);
        assert_eq!(one.arrivals() + two.arrivals(), 1);
    });
}

#[test]
fn not_run_is_retried() {
    World::run(async {
        let (one, two) =
            (Backend::start("d1", RESPONSE).await, Backend::start("d2", RESPONSE).await);
        let world =
            World::start(vec![route("book", RetryPolicy::AtMostOnce, 2)], &[&one, &two]).await;
        one.script_next(Script::NotRun);

        let mut caller = world.caller().await;
        let first = caller.call(&Call::new("a", "/book/1")).await.expect("a response");
        let second = caller.call(&Call::new("b", "/book/1")).await.expect("a response");

        assert_eq!((first.status, first.body.as_str()), (200, "confirmed"));
        assert_eq!((second.status, second.body.as_str()), (200, "confirmed"));
        assert_eq!(one.arrivals() + two.arrivals(), 3);
    });
}

#[test]
fn attempt_limit_holds() {
    World::run(async {
        let (one, two) =
            (Backend::start("d1", RESPONSE).await, Backend::start("d2", RESPONSE).await);
        let world =
            World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&one, &two]).await;
        one.script_next(Script::NotRun);
        two.script_next(Script::NotRun);

        let reply =
            world.caller().await.call(&Call::new("a", "/book/1")).await.expect("a response");

        assert_eq!(reply.status, 503);
        assert!(reply.header("retry-after").is_some());
        assert_eq!(one.arrivals() + two.arrivals(), 1);
    });
}

#[test]
fn unreachable_is_no_attempt() {
    World::run(async {
        let (gone, alive) =
            (Backend::start("d1", RESPONSE).await, Backend::start("d2", RESPONSE).await);
        let mut lost = gone.clone();
        // The listener is dropped at once, so connections to its port are refused.
        lost.address = {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
            listener.local_addr().expect("bound")
        };
        let world =
            World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&lost, &alive]).await;

        for id in ["a", "b", "c"] {
            let reply = world.caller().await.call(&Call::new(id, "/book/1")).await;
            assert_eq!(reply.expect("a response").status, 200);
        }
        assert_eq!(alive.arrivals(), 3);
    });
}

#[test]
fn duplicate_response_discarded() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let world = World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&desk]).await;
        desk.script_next(Script::RespondTwice { after: Duration::from_millis(30) });

        let mut caller = world.caller().await;
        let first = caller.call(&Call::new("a", "/book/1")).await.expect("a response");
        tokio::time::sleep(Duration::from_millis(100)).await;
        let second = caller.call(&Call::new("b", "/book/1")).await.expect("a response");

        assert_eq!(first.body, "first");
        assert_eq!(second.body, "confirmed");
    });
}

#[test]
fn disconnect_resets_attempt() {
    World::run(async {
        let desk = Backend::start("d1", Script::Silent).await;
        let world = World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&desk]).await;
        let mut caller = world.caller().await;
        caller.send(&Call::new("a", "/book/1")).await.expect("the entry reads the request");
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(desk.arrivals(), 1);

        drop(caller);
        tokio::time::sleep(Duration::from_millis(400)).await;

        // A reset discards bytes that a network partition still holds back. After a graceful close
        // they would be delivered when the partition heals, and the request would run.
        assert_eq!((desk.cancelled.get(), desk.reset.get()), (1, 1));
    });
}
