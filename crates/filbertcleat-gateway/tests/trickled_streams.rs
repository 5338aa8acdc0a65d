//! Streams that get on slowly, and streams on which only bytes without an event arrive.

mod support;

use std::time::Duration;

use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::Route;
use rstest::rstest;
use tokio::time::Instant;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::World;
use self::support::backend::event;
use self::support::route;

const RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: true };
const NOT_RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: false };
/// How long callers wait for an event on these routes: the longest of 2 s, four times the latency
/// objective of 500 ms and eight times the gap objective of 300 ms.
const CALLERS_WAIT: Duration = Duration::from_millis(2_400);
/// How much later than its callers the entry may leave a stream.
const MARGIN: Duration = Duration::from_millis(500);
/// Longer than any stream in these tests.
const WAIT_MS: u64 = 60_000;

fn long_route(kind: RetryPolicy, attempts_max: u32) -> Route {
    Route { timeout_ms: WAIT_MS, ..route("write", kind, attempts_max) }
}

fn long_call() -> Call {
    Call { wait_ms: WAIT_MS, ..Call::new("a", "/write/1") }
}

/// Guards against a stream that never ends because its server sends a byte or a comment now and
/// then, but no event.
#[rstest]
fn trickle_ends(
    #[values(NOT_RESUMABLE, RESUMABLE)] kind: RetryPolicy,
    #[values("x", ": still here\n\n", ":\n", "id: 9\n\n")] piece: &'static str,
    #[values(0, 3)] count: u64,
) {
    World::run(async move {
        let pause = Duration::from_millis(700);
        let script = Script::EventsThenPieces { count, piece, pause };
        let writer = Backend::start("w1", script).await;
        let world = World::start(vec![long_route(kind, 2)], &[&writer]).await;
        let started = Instant::now();

        let reply = world.caller().await.call(&long_call()).await.expect("a response head");

        let took = started.elapsed();
        assert!(!reply.is_complete);
        assert!(took >= CALLERS_WAIT, "the stream was cut after {took:?}");
        assert!(took <= CALLERS_WAIT + MARGIN, "the stream ended only after {took:?}");
    });
}

/// Guards against a stalled server that keeps a resumable stream by bytes without an event.
#[rstest]
fn trickle_moves(#[values("x", ": still here\n\n")] piece: &'static str) {
    World::run(async move {
        let pause = Duration::from_millis(700);
        let script = Script::EventsThenPieces { count: 3, piece, pause };
        let servers =
            [Backend::start("w1", script.clone()).await, Backend::start("w2", script).await];
        let world = World::start(vec![long_route(RESUMABLE, 2)], &servers.each_ref()).await;
        let mut caller = world.caller().await;
        let started = Instant::now();
        caller.send(&long_call()).await.expect("the entry reads the request");
        tokio::time::sleep(Duration::from_millis(100)).await;
        for server in servers.iter().filter(|server| server.arrivals() == 0) {
            server.set_default(Script::Events { count: 5, pause: Duration::ZERO });
        }

        let reply = caller.read_reply().await.expect("a response head");

        let took = started.elapsed();
        assert!(reply.is_complete, "the stream was cut after {:?}", reply.body);
        assert!(reply.body.ends_with(&event(5)));
        assert!(took <= CALLERS_WAIT, "the stream ended only after {took:?}");
    });
}

/// Guards against the cut of a sound stream whose events are far apart, and against comments that
/// hold up or break the events between them.
#[rstest]
fn slow_stream_kept(
    #[values(NOT_RESUMABLE, RESUMABLE)] kind: RetryPolicy,
    #[values(1, 2)] servers: usize,
) {
    World::run(async move {
        let script = Script::Events { count: 8, pause: Duration::from_millis(1_900) };
        let all = [Backend::start("w1", script.clone()).await, Backend::start("w2", script).await];
        let listed: Vec<_> = all.iter().take(servers).collect();
        let world = World::start(vec![long_route(kind, 3)], &listed).await;

        let reply = world.caller().await.call(&long_call()).await.expect("a response head");

        assert!(reply.is_complete, "the stream was cut after {:?}", reply.body);
        assert_eq!(reply.body, (1..=8).map(event).collect::<String>());
    });
}

/// Guards against a change for routes without objectives, whose callers' patience is not known:
/// their streams last until the deadline.
#[test]
fn unknown_patience_kept() {
    World::run(async {
        let script = Script::Events { count: 2, pause: Duration::from_secs(9) };
        let writer = Backend::start("w1", script).await;
        let route = long_route(NOT_RESUMABLE, 1);
        let route = Route { latency_objective_ms: 0, gap_objective_ms: 0, ..route };
        let world = World::start(vec![route], &[&writer]).await;

        let reply = world.caller().await.call(&long_call()).await.expect("a response head");

        assert!(reply.is_complete, "the stream was cut after {:?}", reply.body);
        assert_eq!(reply.body, (1..=2).map(event).collect::<String>());
    });
}
