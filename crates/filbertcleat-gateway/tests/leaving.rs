//! What an entry does after the signal to end.

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

/// A stream of 4 s, which can't end within the grace if it begins late.
const LONG: Script = Script::Events { count: 40, pause: Duration::from_millis(100) };

#[test]
fn finishes_open_streams() {
    World::run(async {
        let writer = Backend::start("w1", LONG).await;
        let world = World::start(vec![route("write", STREAM, 1)], &[&writer]).await;
        let mut caller = world.caller().await;
        caller.send(&Call::new("a", "/write/1")).await.expect("the entry reads");
        tokio::time::sleep(Duration::from_millis(500)).await;

        world.stop.trigger();
        let reply = caller.reply().await.expect("the stream goes on");

        assert!(reply.is_whole);
        assert!(reply.body.ends_with("data: piece-40\n\n"));
    });
}

#[test]
fn refuses_late_comers() {
    World::run(async {
        let writer = Backend::start("w1", LONG).await;
        let world = World::start(vec![route("write", STREAM, 1)], &[&writer]).await;
        let mut early = world.caller().await;
        let mut kept = world.caller().await;

        world.stop.trigger();
        early.send(&Call::new("a", "/write/1")).await.expect("the entry reads");
        tokio::time::sleep(Duration::from_millis(3_100)).await;
        let by_kept = kept.call(&Call::new("b", "/write/1")).await;
        let by_new = match Caller::connect(world.callers).await {
            Ok(mut caller) => caller.call(&Call::new("c", "/write/1")).await,
            Err(_refused) => None,
        };

        // Whether they get an answer or a closed connection, neither is handed on to be cut later.
        for reply in [by_kept, by_new].into_iter().flatten() {
            assert_eq!(reply.status, 503);
            assert!(reply.header("retry-after").is_some());
        }
        assert_eq!(writer.arrivals(), 1);
    });
}

#[test]
fn ends_when_idle() {
    World::run(async {
        let writer = Backend::start("w1", LONG).await;
        let world = World::start(vec![route("write", STREAM, 1)], &[&writer]).await;

        world.stop.trigger();
        let ended = tokio::time::timeout(Duration::from_secs(4), world.entry).await;

        assert!(ended.is_ok());
    });
}
