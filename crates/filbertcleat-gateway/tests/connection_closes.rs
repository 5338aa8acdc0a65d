//! Requests that arrive while the entry is about to close their connection.

mod support;

use std::time::Duration;

use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::CallerLimits;
use filbertcleat_serve::Deployment;
use filbertcleat_serve::RetryPolicy;

use self::support::Backend;
use self::support::Call;
use self::support::Caller;
use self::support::Script;
use self::support::World;
use self::support::route;
use self::support::world::deployment;

const RESPONSE: Script = Script::Respond { status: 200, body: "yes", after: Duration::ZERO };
/// Enough connections that a wrong choice between two ready events shows in at least one.
const CONNECTIONS: usize = 32;
/// The timeout for the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// A time after the shutdown signal, shortly before a leaving entry closes its connections.
const BEFORE_CLOSES: Duration = Duration::from_millis(2_500);

async fn start(script: Script) -> World {
    let desk = Backend::start("d1", script).await;
    World::start(vec![route("book", RetryPolicy::AtMostOnce, 1)], &[&desk]).await
}

async fn used_callers(world: &World) -> Vec<Caller> {
    let mut callers = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut caller = world.caller().await;
        assert!(caller.call(&Call::new("a", "/book/1")).await.is_some());
        callers.push(caller);
    }
    callers
}

/// Delivers bytes to all connections and then lets time pass before the entry can read them, as
/// if the process had been suspended.
async fn deliver_while_suspended(callers: &[Caller], bytes: &[u8], pause: Duration) {
    for caller in callers {
        caller.send_at_once(bytes);
    }
    tokio::time::advance(pause).await;
}

#[test]
fn answered_at_idle_timeout() {
    World::run(async {
        let world = start(RESPONSE).await;
        let limits = CallerLimits { idle_timeout_ms: 4_000, ..CallerLimits::default() };
        let routes = vec![route("book", RetryPolicy::AtMostOnce, 1)];
        let limited = Deployment { limits, ..deployment(2, routes) };
        world.catalogue.write(CatalogueEvent::Deployment(limited));
        tokio::time::sleep(Duration::from_secs(2)).await;
        let mut callers = used_callers(&world).await;

        let request = Call::new("b", "/book/1").text();
        deliver_while_suspended(&callers, request.as_bytes(), Duration::from_secs(10)).await;

        for caller in &mut callers {
            assert_eq!(caller.read_reply().await.expect("a response").status, 200);
        }
    });
}

#[test]
fn answered_when_leaving() {
    World::run(async {
        let world = start(RESPONSE).await;
        let mut callers = used_callers(&world).await;
        world.shutdown.trigger();
        tokio::time::sleep(BEFORE_CLOSES).await;

        let request = Call::new("b", "/book/1").text();
        deliver_while_suspended(&callers, request.as_bytes(), Duration::from_millis(1_100)).await;

        for caller in &mut callers {
            let reply = caller.read_reply().await.expect("a response or a refusal");
            assert_eq!(reply.header("connection").as_deref(), Some("close"));
        }
    });
}

#[test]
fn answered_after_stream() {
    World::run(async {
        let script = Script::Events { count: 40, pause: Duration::from_millis(100) };
        let writer = Backend::start("w1", script).await;
        let stream = RetryPolicy::Stream { resumable: false };
        let world = World::start(vec![route("write", stream, 1)], &[&writer]).await;
        let mut caller = world.caller().await;
        caller.send(&Call::new("a", "/write/1")).await.expect("the entry reads the request");
        tokio::time::sleep(Duration::from_millis(500)).await;

        world.shutdown.trigger();
        let reply = caller.read_reply().await.expect("the stream continues");
        assert!(reply.is_complete);
        assert_eq!(
            reply.header("connection"),
            None,
            "the response promises to keep the connection"
        );
        let next = caller.call(&Call::new("b", "/write/1")).await.expect("a refusal");

        assert_eq!(next.status, 503);
        assert_eq!(next.header("connection").as_deref(), Some("close"));
    });
}

#[test]
fn answered_at_header_timeout() {
    World::run(async {
        let world = start(RESPONSE).await;
        let mut callers = used_callers(&world).await;
        let request = Call::new("b", "/book/1").text();
        let (start, rest) = request.split_at(20);
        for caller in &mut callers {
            caller.send_bytes(start.as_bytes()).await.expect("the entry reads the start");
        }
        tokio::time::sleep(Duration::from_secs(1)).await;

        deliver_while_suspended(&callers, rest.as_bytes(), 2 * HEADER_TIMEOUT).await;

        for caller in &mut callers {
            assert_eq!(caller.read_reply().await.expect("a response").status, 200);
        }
    });
}

#[test]
fn begun_head_refused() {
    World::run(async {
        let world = start(RESPONSE).await;
        let mut caller = world.caller().await;
        assert!(caller.call(&Call::new("a", "/book/1")).await.is_some());
        world.shutdown.trigger();
        tokio::time::sleep(BEFORE_CLOSES).await;
        let request = Call::new("b", "/book/1").text();
        let (start, rest) = request.split_at(20);
        caller.send_bytes(start.as_bytes()).await.expect("the entry reads the start");
        tokio::time::sleep(Duration::from_millis(1_400)).await;
        assert!(!world.entry.is_finished(), "a request has begun to arrive");

        caller.send_bytes(rest.as_bytes()).await.expect("the entry reads the rest");

        let reply = caller.read_reply().await.expect("a refusal");
        assert_eq!(reply.status, 503);
        assert_eq!(reply.header("connection").as_deref(), Some("close"));
    });
}
