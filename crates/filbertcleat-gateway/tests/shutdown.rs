//! How an entry behaves after the shutdown signal.

mod support;

use std::time::Duration;

use filbertcleat_serve::RetryPolicy;

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
