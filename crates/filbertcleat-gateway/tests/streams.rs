//! Streams of events.

mod support;

use std::time::Duration;

use filbertcleat_serve::RetryPolicy;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::World;
use self::support::backend::event;
use self::support::route;

const PLAIN: RetryPolicy = RetryPolicy::Stream { resumable: false };
const RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: true };
const FIVE: Script = Script::Events { count: 5, pause: Duration::from_millis(20) };

fn five_events() -> String {
    (1..=5).map(event).collect()
}

#[test]
fn whole_stream_arrives() {
    World::run(async {
        let writer = Backend::start("w1", FIVE).await;
        let world = World::start(vec![route("write", PLAIN, 1)], &[&writer]).await;

        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        let reply = reply.expect("an answer");
        assert_eq!(reply.body, five_events());
        assert!(reply.is_whole);
        assert_eq!(reply.header("x-seal").as_deref(), Some("s"));
    });
}

#[test]
fn cut_stream_looks_cut() {
    World::run(async {
        let writer = Backend::start("w1", Script::EventsThenCut { count: 3 }).await;
        let spare = Backend::start("w2", Script::EventsThenCut { count: 3 }).await;
        let world = World::start(vec![route("write", PLAIN, 2)], &[&writer, &spare]).await;

        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        assert!(!reply.expect("a head").is_whole);
        assert_eq!(writer.arrivals() + spare.arrivals(), 1);
    });
}

#[test]
fn torn_event_looks_cut() {
    World::run(async {
        let writer = Backend::start("w1", Script::TornUnframed).await;
        let world = World::start(vec![route("write", PLAIN, 1)], &[&writer]).await;

        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        let reply = reply.expect("a head");
        assert!(!reply.is_whole);
        assert!(!reply.body.contains("id: 2"), "half an event was passed on");
    });
}

#[test]
fn resumed_after_cut() {
    World::run(async {
        let (one, two) = (Backend::start("w1", FIVE).await, Backend::start("w2", FIVE).await);
        one.next(Script::EventsThenCut { count: 3 });
        two.next(Script::EventsThenCut { count: 3 });
        let world = World::start(vec![route("write", RESUMABLE, 2)], &[&one, &two]).await;

        // Whichever is asked first breaks off; the other one's scripted break is at event 3 too.
        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        let arrivals = one.arrivals() + two.arrivals();
        assert_eq!(arrivals, 2);
        let heads: Vec<_> =
            one.seen.borrow().iter().chain(two.seen.borrow().iter()).cloned().collect();
        assert!(heads.iter().any(|head| head.contains("x-after: 3")), "{heads:?}");
        assert!(!reply.expect("a head").is_whole, "the second break can't be resumed again");
    });
}

#[test]
fn joined_without_seam() {
    World::run(async {
        let (one, two) = (Backend::start("w1", FIVE).await, Backend::start("w2", FIVE).await);
        let world = World::start(vec![route("write", RESUMABLE, 3)], &[&one, &two]).await;
        for broken in [&one, &two] {
            broken.next(Script::EventsThenCut { count: 2 });
        }
        // Both first answers break off, and the third send ends the stream.
        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        if one.arrivals() + two.arrivals() == 3 {
            let reply = reply.expect("an answer");
            assert_eq!(reply.body, five_events());
            assert!(reply.is_whole);
        } else {
            panic!("{} sends", one.arrivals() + two.arrivals());
        }
    });
}

#[test]
fn silent_stream_moves() {
    World::run(async {
        let (one, two) = (
            Backend::start("w1", Script::Silent).await,
            Backend::start("w2", Script::Silent).await,
        );
        one.next(Script::Events { count: 5, pause: Duration::from_millis(20) });
        let stalled = Script::Events { count: 5, pause: Duration::from_secs(60) };
        two.next(stalled);
        let world = World::start(vec![route("write", RESUMABLE, 2)], &[&one, &two]).await;

        let mut first = world.caller().await;
        let mut second = world.caller().await;
        first.send(&Call::new("a", "/write/1")).await.expect("the entry reads");
        second.send(&Call::new("b", "/write/1")).await.expect("the entry reads");
        tokio::time::sleep(Duration::from_secs(3)).await;

        // The stalled one was left, and its connection closed.
        assert_eq!(two.cancelled.get(), 1);
    });
}

#[test]
fn timeout_ends_stream() {
    World::run(async {
        let writer =
            Backend::start("w1", Script::Events { count: 500, pause: Duration::from_millis(100) })
                .await;
        let mut brief = route("write", PLAIN, 1);
        brief.timeout_ms = 2_000;
        let world = World::start(vec![brief], &[&writer]).await;
        let started = tokio::time::Instant::now();

        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        assert!(!reply.expect("a head").is_whole);
        assert!(started.elapsed() <= Duration::from_millis(2_500));
        tokio::time::sleep(Duration::from_millis(400)).await;
        assert_eq!(writer.cancelled.get(), 1);
    });
}

#[test]
fn unknown_model_is_told_at_once() {
    World::run(async {
        let writer = Backend::start("w1", FIVE).await;
        let world = World::start(vec![route("write", PLAIN, 1)], &[&writer]).await;
        let started = tokio::time::Instant::now();

        let call = Call { extra: "x-model: unheard-of\r\n", ..Call::new("a", "/write/1") };
        let reply = world.caller().await.call(&call).await.expect("an answer");

        assert_eq!(reply.status, 503);
        assert!(reply.header("retry-after").is_some());
        assert!(started.elapsed() <= Duration::from_millis(400), "{:?}", started.elapsed());
        assert_eq!(writer.arrivals(), 0);
    });
}
