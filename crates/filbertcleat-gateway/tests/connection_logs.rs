//! Log lines of connections that an entry closes on its own account.

mod support;

use std::cell::RefCell;
use std::time::Duration;

use filbertcleat_serve::RetryPolicy;
use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::World;
use self::support::route;

const RESPONSE: Script = Script::Respond { status: 200, body: "yes", after: Duration::ZERO };

thread_local! {
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Keeps the lines of each thread, and with it of each test.
#[derive(Debug)]
struct ThreadLines;

impl Log for ThreadLines {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        LINES.with_borrow_mut(|lines| lines.push(record.args().to_string()));
    }

    fn flush(&self) {}
}

async fn start() -> World {
    // A test before this one may have installed the logger.
    let _ = log::set_logger(&ThreadLines);
    log::set_max_level(LevelFilter::Info);
    let desk = Backend::start("d1", RESPONSE).await;
    World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&desk]).await
}

fn closes() -> Vec<String> {
    LINES.with_borrow(|lines| {
        let closes = lines.iter().filter(|line| line.starts_with("event=connection-closed "));
        closes.cloned().collect()
    })
}

fn assert_close(reason: &str, requests: u32) {
    let lines = closes();
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

        assert_eq!(closes(), Vec::<String>::new());
    });
}
