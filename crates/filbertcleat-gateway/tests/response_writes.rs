//! How a leaving entry waits until its responses have been written.

mod support;

use std::time::Duration;

use filbertcleat_serve::RetryPolicy;
use rstest::rstest;

use self::support::Backend;
use self::support::Call;
use self::support::Caller;
use self::support::Script;
use self::support::World;
use self::support::route;

/// A response that exceeds the socket buffers between an entry and a slow caller.
const LARGE_BYTES: usize = 12 * 1024 * 1024;
/// The grace period of the entries in these tests.
const GRACE_PERIOD: Duration = Duration::from_secs(8);

/// How the backend server responds.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Complete,
    Stream,
}

/// Starts an entry whose large response waits for a caller that has read nothing of it.
async fn start_response(kind: Kind) -> (World, Caller) {
    let body: &'static str = "x".repeat(LARGE_BYTES).leak();
    let (id, script, policy) = match kind {
        Kind::Complete => {
            let script = Script::Respond { status: 200, body, after: Duration::ZERO };
            ("d1", script, RetryPolicy::AtMostOnce)
        }
        Kind::Stream => {
            let script = Script::LargeEvents { count: 24, bytes: LARGE_BYTES / 24 };
            ("w1", script, RetryPolicy::Stream { resumable: false })
        }
    };
    let backend = Backend::start(id, script).await;
    let world = World::start(vec![route("read", policy, 1)], &[&backend]).await;
    let mut caller = Caller::connect_slow(world.callers).await.expect("the entry listens");
    caller.send(&Call::new("a", "/read/1")).await.expect("the entry reads the request");
    tokio::time::sleep(Duration::from_millis(200)).await;
    (world, caller)
}

#[rstest]
fn waits_for_slow_callers(#[values(Kind::Complete, Kind::Stream)] kind: Kind) {
    World::run(async move {
        let (world, mut caller) = start_response(kind).await;

        world.shutdown.trigger();
        tokio::time::sleep(Duration::from_secs(5)).await;
        assert!(!world.entry.is_finished(), "the response has not been written");
        let reply = caller.read_reply().await.expect("a response");
        drop(caller);

        assert!(reply.is_complete);
        assert!(reply.body.len() >= LARGE_BYTES);
        let ended = tokio::time::timeout(Duration::from_secs(2), world.entry).await;
        assert!(ended.is_ok(), "nothing is left to wait for");
    });
}

#[rstest]
fn silent_callers_bounded(#[values(Kind::Complete, Kind::Stream)] kind: Kind) {
    World::run(async move {
        let (world, _caller) = start_response(kind).await;

        world.shutdown.trigger();
        let ended = tokio::time::timeout(GRACE_PERIOD, world.entry).await;

        assert!(ended.is_ok(), "a caller that reads nothing does not delay the exit");
    });
}

#[test]
fn idle_connections_closed() {
    World::run(async {
        let script = Script::Respond { status: 200, body: "yes", after: Duration::ZERO };
        let desk = Backend::start("d1", script).await;
        let world = World::start(vec![route("read", RetryPolicy::AtMostOnce, 1)], &[&desk]).await;
        let mut used = world.caller().await;
        assert!(used.call(&Call::new("a", "/read/1")).await.is_some());
        let mut unused = world.caller().await;

        world.shutdown.trigger();
        let ended = tokio::time::timeout(GRACE_PERIOD / 2, world.entry).await;

        assert!(ended.is_ok(), "idle callers do not hold the entry");
        for caller in [&mut used, &mut unused] {
            assert!(caller.ends_within(Duration::from_millis(10)).await, "closed before the exit");
        }
    });
}
