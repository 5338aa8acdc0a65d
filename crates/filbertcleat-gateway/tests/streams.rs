//! Streams: forwarding, cutting and resuming.

mod support;

use std::time::Duration;

use filbertcleat_serve::RetryPolicy;
use rstest::rstest;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::World;
use self::support::backend::event;
use self::support::route;

const NOT_RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: false };
const RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: true };
const FIVE_EVENTS: Script = Script::Events { count: 5, pause: Duration::from_millis(20) };

const PARTIAL_EVENT: &str = "id: 1\ndata: piece-1\n\nid: 2\nda";

fn five_events() -> String {
    (1..=5).map(event).collect()
}

#[test]
fn complete_stream_forwarded() {
    World::run(async {
        let writer = Backend::start("w1", FIVE_EVENTS).await;
        let world = World::start(vec![route("write", NOT_RESUMABLE, 1)], &[&writer]).await;

        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        let reply = reply.expect("a response");
        assert_eq!(reply.body, five_events());
        assert!(reply.is_complete);
        assert_eq!(reply.header("x-seal").as_deref(), Some("s"));
    });
}

#[test]
fn broken_stream_is_cut() {
    World::run(async {
        let writer = Backend::start("w1", Script::EventsThenCut { count: 3 }).await;
        let spare = Backend::start("w2", Script::EventsThenCut { count: 3 }).await;
        let world = World::start(vec![route("write", NOT_RESUMABLE, 2)], &[&writer, &spare]).await;

        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        assert!(!reply.expect("a response head").is_complete);
        assert_eq!(writer.arrivals() + spare.arrivals(), 1);
    });
}

#[test]
fn unframed_stream_forwarded() {
    World::run(async {
        let writer = Backend::start("w1", Script::Unframed { body: five_events().leak() }).await;
        let world = World::start(vec![route("write", NOT_RESUMABLE, 1)], &[&writer]).await;

        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        let reply = reply.expect("a response");
        assert_eq!(reply.body, five_events());
        assert!(reply.is_complete);
    });
}

/// A server that ends after the head of an unframed response closes the connection like one that
/// has sent everything.
#[test]
fn empty_unframed_stream_is_cut() {
    World::run(async {
        let writer = Backend::start("w1", Script::Unframed { body: "" }).await;
        let world = World::start(vec![route("write", NOT_RESUMABLE, 1)], &[&writer]).await;

        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        assert!(!reply.expect("a response head").is_complete);
    });
}

#[rstest]
#[case::unframed(Script::Unframed { body: PARTIAL_EVENT })]
#[case::framed(Script::FramedPartialEvent)]
fn partial_event_is_cut(#[case] script: Script) {
    World::run(async {
        let writer = Backend::start("w1", script).await;
        let world = World::start(vec![route("write", NOT_RESUMABLE, 1)], &[&writer]).await;

        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        let reply = reply.expect("a response head");
        assert!(!reply.is_complete);
        assert!(!reply.body.contains("id: 2"), "a partial event was forwarded");
    });
}

#[test]
fn resumed_after_cut() {
    World::run(async {
        let (one, two) =
            (Backend::start("w1", FIVE_EVENTS).await, Backend::start("w2", FIVE_EVENTS).await);
        one.script_next(Script::EventsThenCut { count: 3 });
        two.script_next(Script::EventsThenCut { count: 3 });
        let world = World::start(vec![route("write", RESUMABLE, 2)], &[&one, &two]).await;

        // Both servers break off after event 3, whichever gets the first attempt.
        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        let arrivals = one.arrivals() + two.arrivals();
        assert_eq!(arrivals, 2);
        let heads: Vec<_> =
            one.seen.borrow().iter().chain(two.seen.borrow().iter()).cloned().collect();
        assert!(heads.iter().any(|head| head.contains("x-after: 3")), "{heads:?}");
        assert!(
            !reply.expect("a response head").is_complete,
            "the second break exceeds the attempt limit"
        );
    });
}

#[test]
fn resumed_stream_is_gapless() {
    World::run(async {
        let (one, two) =
            (Backend::start("w1", FIVE_EVENTS).await, Backend::start("w2", FIVE_EVENTS).await);
        let world = World::start(vec![route("write", RESUMABLE, 3)], &[&one, &two]).await;
        for broken in [&one, &two] {
            broken.script_next(Script::EventsThenCut { count: 2 });
        }
        // The first response of each server breaks off; the third attempt completes the stream.
        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        if one.arrivals() + two.arrivals() == 3 {
            let reply = reply.expect("a response");
            assert_eq!(reply.body, five_events());
            assert!(reply.is_complete);
        } else {
            panic!("{} attempts", one.arrivals() + two.arrivals());
        }
    });
}

#[test]
fn stalled_stream_moves() {
    World::run(async {
        let (one, two) =
            (Backend::start("w1", FIVE_EVENTS).await, Backend::start("w2", Script::Silent).await);
        let stalled = Script::Events { count: 5, pause: Duration::from_secs(60) };
        two.script_next(stalled);
        let world = World::start(vec![route("write", RESUMABLE, 2)], &[&one, &two]).await;

        let mut first = world.caller().await;
        let mut second = world.caller().await;
        first.send(&Call::new("a", "/write/1")).await.expect("the entry reads the request");
        second.send(&Call::new("b", "/write/1")).await.expect("the entry reads the request");
        tokio::time::sleep(Duration::from_secs(3)).await;

        // The attempt at the stalled server was given up, and its connection closed.
        assert_eq!(two.cancelled.get(), 1);
        for caller in [&mut first, &mut second] {
            let reply = caller.read_reply().await.expect("a response");
            assert_eq!(reply.body, five_events());
            assert!(reply.is_complete);
        }
    });
}

#[test]
fn timeout_cuts_stream() {
    World::run(async {
        let writer =
            Backend::start("w1", Script::Events { count: 500, pause: Duration::from_millis(100) })
                .await;
        let mut brief = route("write", NOT_RESUMABLE, 1);
        brief.timeout_ms = 2_000;
        let world = World::start(vec![brief], &[&writer]).await;
        let started = tokio::time::Instant::now();

        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        assert!(!reply.expect("a response head").is_complete);
        assert!(started.elapsed() <= Duration::from_millis(2_500));
        tokio::time::sleep(Duration::from_millis(400)).await;
        assert_eq!(writer.cancelled.get(), 1);
    });
}

#[test]
fn unknown_model_refused_early() {
    World::run(async {
        let writer = Backend::start("w1", FIVE_EVENTS).await;
        let world = World::start(vec![route("write", NOT_RESUMABLE, 1)], &[&writer]).await;
        let started = tokio::time::Instant::now();

        let call = Call { extra: "x-model: unheard-of\r\n", ..Call::new("a", "/write/1") };
        let reply = world.caller().await.call(&call).await.expect("a response");

        assert_eq!(reply.status, 503);
        assert!(reply.header("retry-after").is_some());
        assert!(started.elapsed() <= Duration::from_millis(400), "{:?}", started.elapsed());
        assert_eq!(writer.arrivals(), 0);
    });
}

/// A caller of HTTP/1.0 gets no chunks, so that only a reset shows that its stream is cut.
#[rstest]
#[case::cut(Script::EventsThenCut { count: 3 }, false)]
#[case::complete(FIVE_EVENTS, true)]
fn cut_shown_without_chunks(#[case] script: Script, #[case] is_complete: bool) {
    World::run(async {
        let writer = Backend::start("w1", script).await;
        let world = World::start(vec![route("write", NOT_RESUMABLE, 1)], &[&writer]).await;
        let mut caller = world.caller().await;
        let text = Call::new("a", "/write/1").text().replace("HTTP/1.1", "HTTP/1.0");
        caller.send_bytes(text.as_bytes()).await.expect("the entry reads the request");

        assert_eq!(caller.read_to_close().await.is_ok(), is_complete);
    });
}
