//! A request that may run once at most.

mod support;

use std::time::Duration;

use filbertcleat_serve::RetryPolicy;
use rstest::rstest;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::World;
use self::support::route;

const USUAL: Script =
    Script::Answer { status: 200, body: "confirmed", after: Duration::from_millis(60) };

#[rstest]
#[case::closed(Script::Close, 502)]
#[case::foreign(Script::Foreign, 502)]
#[case::unsealed(Script::Unsealed, 502)]
#[case::silent(Script::Silent, 504)]
#[case::failed(Script::Answer { status: 500, body: "no", after: Duration::ZERO }, 500)]
fn never_sent_twice(#[case] script: Script, #[case] status: u16) {
    World::run(async {
        let (one, two) = (Backend::start("d1", USUAL).await, Backend::start("d2", USUAL).await);
        let world =
            World::start(vec![route("book", RetryPolicy::AtMostOnce, 3)], &[&one, &two]).await;
        one.next(script.clone());
        two.next(script);

        let reply = world.caller().await.call(&Call::new("a", "/book/1")).await;

        assert_eq!(reply.expect("an answer").status, status);
        assert_eq!(one.arrivals() + two.arrivals(), 1);
    });
}

#[test]
fn not_run_goes_elsewhere() {
    World::run(async {
        let (one, two) = (Backend::start("d1", USUAL).await, Backend::start("d2", USUAL).await);
        let world =
            World::start(vec![route("book", RetryPolicy::AtMostOnce, 2)], &[&one, &two]).await;
        one.next(Script::NotRun);

        let mut caller = world.caller().await;
        let first = caller.call(&Call::new("a", "/book/1")).await.expect("an answer");
        let second = caller.call(&Call::new("b", "/book/1")).await.expect("an answer");

        assert_eq!((first.status, first.body.as_str()), (200, "confirmed"));
        assert_eq!((second.status, second.body.as_str()), (200, "confirmed"));
        assert_eq!(one.arrivals() + two.arrivals(), 3);
    });
}

#[test]
fn one_send_is_one() {
    World::run(async {
        let (one, two) = (Backend::start("d1", USUAL).await, Backend::start("d2", USUAL).await);
        let world =
            World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&one, &two]).await;
        one.next(Script::NotRun);
        two.next(Script::NotRun);

        let reply = world.caller().await.call(&Call::new("a", "/book/1")).await.expect("an answer");

        assert_eq!(reply.status, 503);
        assert!(reply.header("retry-after").is_some());
        assert_eq!(one.arrivals() + two.arrivals(), 1);
    });
}

#[test]
fn unreachable_is_no_send() {
    World::run(async {
        let (gone, alive) = (Backend::start("d1", USUAL).await, Backend::start("d2", USUAL).await);
        let mut lost = gone.clone();
        // A port that was free a moment ago and has no listener.
        lost.address = {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
            listener.local_addr().expect("bound")
        };
        let world =
            World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&lost, &alive]).await;

        for id in ["a", "b", "c"] {
            let reply = world.caller().await.call(&Call::new(id, "/book/1")).await;
            assert_eq!(reply.expect("an answer").status, 200);
        }
        assert_eq!(alive.arrivals(), 3);
    });
}

#[test]
fn second_answer_belongs_to_nobody() {
    World::run(async {
        let desk = Backend::start("d1", USUAL).await;
        let world = World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&desk]).await;
        desk.next(Script::AnswerTwice { after: Duration::from_millis(30) });

        let mut caller = world.caller().await;
        let first = caller.call(&Call::new("a", "/book/1")).await.expect("an answer");
        tokio::time::sleep(Duration::from_millis(100)).await;
        let second = caller.call(&Call::new("b", "/book/1")).await.expect("an answer");

        assert_eq!(first.body, "first");
        assert_eq!(second.body, "confirmed");
    });
}

#[test]
fn leaving_caller_is_noticed() {
    World::run(async {
        let desk = Backend::start("d1", Script::Silent).await;
        let world = World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&desk]).await;
        let mut caller = world.caller().await;
        caller.send(&Call::new("a", "/book/1")).await.expect("the entry reads");
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(desk.arrivals(), 1);

        drop(caller);
        tokio::time::sleep(Duration::from_millis(400)).await;

        // A reset takes back what a cut path still holds; an orderly end would let it arrive later.
        assert_eq!((desk.cancelled.get(), desk.reset.get()), (1, 1));
    });
}
