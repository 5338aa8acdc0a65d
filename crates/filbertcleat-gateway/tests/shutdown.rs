//! How an entry behaves after the shutdown signal.

mod support;

use std::time::Duration;

use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::Route;
use rstest::rstest;
use tokio::time::Instant;

use self::support::Backend;
use self::support::Call;
use self::support::Caller;
use self::support::Script;
use self::support::World;
use self::support::route;

const STREAM: RetryPolicy = RetryPolicy::Stream { resumable: false };

/// A stream of 4 s, which does not fit into the grace period if it starts late.
const LONG_STREAM: Script = Script::Events { count: 40, pause: Duration::from_millis(100) };

#[test]
fn finishes_open_streams() {
    World::run(async {
        let writer = Backend::start("w1", LONG_STREAM).await;
        let world = World::start(vec![route("write", STREAM, 1)], &[&writer]).await;
        let mut caller = world.caller().await;
        caller.send(&Call::new("a", "/write/1")).await.expect("the entry reads the request");
        tokio::time::sleep(Duration::from_millis(500)).await;

        world.shutdown.trigger();
        let reply = caller.read_reply().await.expect("the stream continues");

        assert!(reply.is_complete);
        assert!(reply.body.ends_with("data: piece-40\n\n"));
    });
}

#[test]
fn refuses_late_requests() {
    World::run(async {
        let writer = Backend::start("w1", LONG_STREAM).await;
        let world = World::start(vec![route("write", STREAM, 1)], &[&writer]).await;
        let mut early = world.caller().await;
        let mut kept = world.caller().await;

        world.shutdown.trigger();
        early.send(&Call::new("a", "/write/1")).await.expect("the entry reads the request");
        tokio::time::sleep(Duration::from_millis(3_100)).await;
        let by_kept = kept.call(&Call::new("b", "/write/1")).await;
        let by_new = match Caller::connect(world.callers).await {
            Ok(mut caller) => caller.call(&Call::new("c", "/write/1")).await,
            Err(_refused) => None,
        };

        // A late request gets a refusal or a closed connection. It is never forwarded, because its
        // stream would be cut when the process exits.
        for reply in [by_kept, by_new].into_iter().flatten() {
            assert_eq!(reply.status, 503);
            assert!(reply.header("retry-after").is_some());
        }
        assert_eq!(writer.arrivals(), 1);
    });
}

#[test]
fn exits_when_idle() {
    World::run(async {
        let writer = Backend::start("w1", LONG_STREAM).await;
        let world = World::start(vec![route("write", STREAM, 1)], &[&writer]).await;

        world.shutdown.trigger();
        let ended = tokio::time::timeout(Duration::from_secs(4), world.entry).await;

        assert!(ended.is_ok());
    });
}

/// The grace period of the entries in these tests.
const GRACE_PERIOD: Duration = Duration::from_secs(8);
/// Longer than the grace period.
const LONG_WAIT_MS: u64 = 30_000;

/// Guards against requests that were read whole and get no response when the process exits.
#[rstest]
#[case::before(Duration::ZERO)]
#[case::after(Duration::from_millis(100))]
#[case::last_accepted(Duration::from_millis(2_500))]
fn unfinished_requests_answered(#[case] sent_after: Duration) {
    World::run(async move {
        let desk = Backend::start("d1", Script::Silent).await;
        let route = Route { timeout_ms: LONG_WAIT_MS, ..route("book", RetryPolicy::AtMostOnce, 1) };
        let world = World::start(vec![route], &[&desk]).await;
        let mut caller = world.caller().await;
        let call = Call { wait_ms: LONG_WAIT_MS, ..Call::new("a", "/book/1") };
        let started = Instant::now();
        if sent_after.is_zero() {
            caller.send(&call).await.expect("the entry reads the request");
            tokio::time::sleep(Duration::from_millis(20)).await;
            world.shutdown.trigger();
        } else {
            world.shutdown.trigger();
            tokio::time::sleep(sent_after).await;
            caller.send(&call).await.expect("the entry reads the request");
        }

        let reply = caller.read_reply().await.expect("a response before the exit");

        assert!(!world.entry.is_finished(), "the process has exited before the response");
        assert_eq!(reply.status, 502, "the request may have run");
        assert_eq!(desk.arrivals(), 1);
        drop(caller);
        let left = GRACE_PERIOD.saturating_sub(started.elapsed());
        let ended = tokio::time::timeout(left, world.entry).await;
        assert!(ended.is_ok(), "the entry exceeds its grace period");
    });
}

/// Guards against a request that waits for an engine being cut off when the process exits.
#[test]
fn queued_requests_answered() {
    World::run(async {
        let writer = Backend::start("w1", Script::Silent).await;
        let patient = Route {
            timeout_ms: LONG_WAIT_MS,
            latency_objective_ms: LONG_WAIT_MS,
            ..route("write", STREAM, 1)
        };
        let world = World::start(vec![patient], &[&writer]).await;
        let mut callers = Vec::new();
        for id in ["1", "2", "3", "4", "5", "6", "7", "8", "9", "10"] {
            let mut caller = world.caller().await;
            let call = Call { wait_ms: LONG_WAIT_MS, ..Call::new(id, "/write/1") };
            caller.send(&call).await.expect("the entry reads the request");
            callers.push(caller);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(writer.arrivals() < callers.len(), "no request waits for the engine");

        world.shutdown.trigger();
        let mut statuses = Vec::new();
        for caller in &mut callers {
            statuses.push(caller.read_reply().await.expect("a response before the exit").status);
        }

        let refused = statuses.iter().filter(|status| **status == 503).count();
        assert_eq!(refused, callers.len() - writer.arrivals(), "those that have not run");
        assert!(statuses.iter().all(|status| [502, 503].contains(status)), "{statuses:?}");
        assert!(!world.entry.is_finished(), "the process has exited before the responses");
    });
}

/// Guards against the cut of a request whose body is still arriving when the process stops, and
/// against waiting for one that never ends.
#[rstest]
#[case::ends_at_once(Duration::ZERO, Some(200))]
#[case::ends_late(Duration::from_secs(3), Some(200))]
#[case::never_ends(Duration::from_secs(60), Some(503))]
fn unfinished_bodies_answered(#[case] rest_after: Duration, #[case] status: Option<u16>) {
    World::run(async move {
        let yes = Script::Respond { status: 200, body: "yes", after: Duration::ZERO };
        let desk = Backend::start("d1", yes).await;
        let route = Route { timeout_ms: LONG_WAIT_MS, ..route("book", RetryPolicy::AtMostOnce, 1) };
        let world = World::start(vec![route], &[&desk]).await;
        let mut caller = world.caller().await;
        let extra = "content-length: 10\r\n";
        let call = Call { wait_ms: LONG_WAIT_MS, extra, ..Call::new("a", "/book/1") };
        caller.send(&call).await.expect("the entry reads the head");
        caller.send_bytes(b"01234").await.expect("the entry reads the body");
        tokio::time::sleep(Duration::from_millis(20)).await;

        world.shutdown.trigger();
        if rest_after < GRACE_PERIOD {
            tokio::time::sleep(rest_after).await;
            caller.send_bytes(b"56789").await.expect("the entry reads the body");
        }
        let reply = caller.read_reply().await;

        assert_eq!(reply.map(|reply| reply.status), status);
        assert!(!world.entry.is_finished(), "the process has exited before the response");
    });
}

/// Guards against a request that runs although its caller gets no response to it: those behind the
/// request with which a leaving entry ends the connection must not run.
#[test]
fn pipelined_requests_not_run() {
    World::run(async {
        let after = Duration::from_millis(300);
        let desk = Backend::start("d1", Script::Respond { status: 200, body: "yes", after }).await;
        let routes = vec![route("book", RetryPolicy::AtMostOnce, 1)];
        let world = World::start(routes, &[&desk]).await;
        let mut caller = world.caller().await;
        let [first, second] = [Call::new("a", "/book/1"), Call::new("b", "/book/2")];
        let both = format!("{}{}", first.text(), second.text());
        caller.send_bytes(both.as_bytes()).await.expect("the entry reads the requests");
        tokio::time::sleep(Duration::from_millis(20)).await;

        world.shutdown.trigger();
        let reply = caller.read_reply().await.expect("a response");

        assert_eq!(reply.status, 200);
        assert_eq!(reply.header("connection").as_deref(), Some("close"));
        assert!(caller.ends_within(Duration::from_secs(1)).await, "closed in order");
        assert_eq!(desk.arrivals(), 1, "the second request ran without a response");
    });
}
