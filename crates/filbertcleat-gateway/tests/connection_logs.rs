//! Log lines of connections that an entry closes on its own account.

mod support;

use std::time::Duration;

use filbertcleat_serve::RetryPolicy;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::World;
use self::support::log_lines::keep_lines;
use self::support::log_lines::lines;
use self::support::route;

const RESPONSE: Script = Script::Respond { status: 200, body: "yes", after: Duration::ZERO };

async fn start() -> World {
    keep_lines();
    let desk = Backend::start("d1", RESPONSE).await;
    World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&desk]).await
}

fn assert_close(reason: &str, requests: u32) {
    let lines = lines("connection-closed");
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains(&format!(" reason={reason} ")), "{lines:?}");
    assert!(lines[0].contains(&format!(" requests={requests} ")), "{lines:?}");
}

#[test]
fn idle_close_logged() {
    World::run(async {
        let world = start().await;
        let mut caller = world.caller().await;
        assert!(caller.call(&Call::new("a", "/book/1")).await.is_some());

        assert!(caller.ends_within(Duration::from_secs(30)).await);

        assert_close("idle", 1);
    });
}

#[test]
fn overdue_head_logged() {
    World::run(async {
        let world = start().await;
        let mut caller = world.caller().await;
        caller.send_bytes(b"GET /bo").await.expect("the entry reads the start");

        assert!(caller.ends_within(Duration::from_secs(10)).await);

        assert_close("head-overdue", 0);
    });
}

#[test]
fn leaving_close_logged() {
    World::run(async {
        let world = start().await;
        let mut caller = world.caller().await;
        assert!(caller.call(&Call::new("a", "/book/1")).await.is_some());

        world.shutdown.trigger();
        assert!(caller.ends_within(Duration::from_secs(6)).await);

        assert_close("leaving", 1);
    });
}

#[test]
fn callers_close_unlogged() {
    World::run(async {
        let world = start().await;
        let mut caller = world.caller().await;
        assert!(caller.call(&Call::new("a", "/book/1")).await.is_some());

        drop(caller);
        tokio::time::sleep(Duration::from_secs(30)).await;

        assert_eq!(lines("connection-closed"), Vec::<String>::new());
    });
}
