//! Refusals of requests whose body the entry has not read to its end.

mod support;

use std::time::Duration;

use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::CallerLimits;
use filbertcleat_serve::Deployment;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::Route;
use rstest::rstest;

use self::support::Backend;
use self::support::Call;
use self::support::Caller;
use self::support::Script;
use self::support::TestCatalogue;
use self::support::World;
use self::support::route;
use self::support::world::deployment;

const RESPONSE: Script = Script::Respond { status: 200, body: "yes", after: Duration::ZERO };
/// The pieces in which a caller sends a body.
const PIECES: usize = 4;
/// A body that exceeds the socket buffers of an unread connection, and is within the limit.
const LARGE_PIECE_BYTES: usize = 1_000_000;
/// The most bytes that socket buffers take of a body that nobody reads.
const SOCKET_BUFFERS_MAX_BYTES: usize = 12 * 1024 * 1024;

/// How a body is delimited.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunked,
}

/// Why the entry refuses the request.
#[derive(Clone, Copy, Debug)]
enum Cause {
    NoRoute,
    NoConfiguration,
    Leaving,
}

fn head(framing: Framing, length: usize) -> String {
    let framing = match framing {
        Framing::Length => format!("content-length: {length}"),
        Framing::Chunked => "transfer-encoding: chunked".to_owned(),
    };
    format!("POST /lost/1 HTTP/1.1\r\nhost: desk.example\r\nx-id: a\r\n{framing}\r\n\r\n")
}

fn piece(framing: Framing, bytes: usize) -> Vec<u8> {
    let data = "x".repeat(bytes);
    match framing {
        Framing::Length => data.into_bytes(),
        Framing::Chunked => format!("{bytes:x}\r\n{data}\r\n").into_bytes(),
    }
}

/// Sends a whole request in pieces before it reads anything, as simple callers do.
async fn send_slowly(caller: &mut Caller, framing: Framing, piece_bytes: usize, pause: Duration) {
    let head = head(framing, PIECES * piece_bytes);
    caller.send_bytes(head.as_bytes()).await.expect("the entry reads the head");
    for _ in 0..PIECES {
        tokio::time::sleep(pause).await;
        let piece = piece(framing, piece_bytes);
        caller.send_bytes(&piece).await.expect("the entry reads the body");
    }
    if matches!(framing, Framing::Chunked) {
        caller.send_bytes(b"0\r\n\r\n").await.expect("the entry reads the end of the body");
    }
}

async fn start(cause: Cause) -> (World, u16) {
    let desk = Backend::start("d1", RESPONSE).await;
    match cause {
        Cause::NoRoute => (World::start(vec![book()], &[&desk]).await, 404),
        Cause::NoConfiguration => {
            (World::start_with_catalogue(TestCatalogue::default()).await, 503)
        }
        Cause::Leaving => (World::start(vec![book()], &[&desk]).await, 503),
    }
}

async fn start_limited(body_max_bytes: usize) -> World {
    let (world, _) = start(Cause::NoRoute).await;
    let limits = CallerLimits { body_max_bytes, ..CallerLimits::default() };
    let limited = Deployment { limits, ..deployment(2, vec![book()]) };
    world.catalogue.write(CatalogueEvent::Deployment(limited));
    tokio::time::sleep(Duration::from_secs(2)).await;
    world
}

fn book() -> Route {
    route("book", RetryPolicy::AtMostOnce, 1)
}

#[rstest]
fn refusal_arrives(
    #[values(Cause::NoRoute, Cause::NoConfiguration, Cause::Leaving)] cause: Cause,
    #[values(Framing::Length, Framing::Chunked)] framing: Framing,
    #[values(10, LARGE_PIECE_BYTES)] piece_bytes: usize,
    #[values(Duration::ZERO, Duration::from_millis(10), Duration::from_millis(300))]
    pause: Duration,
) {
    World::run(async move {
        let (world, status) = start(cause).await;
        if matches!(cause, Cause::Leaving) {
            world.shutdown.trigger();
            tokio::time::sleep(Duration::from_millis(2_650)).await;
        }
        let mut caller = world.caller().await;

        send_slowly(&mut caller, framing, piece_bytes, pause).await;
        let reply = caller.read_reply().await.expect("the refusal arrives");

        assert_eq!(reply.status, status);
        assert!(reply.is_complete);
        if reply.header("connection").is_some_and(|value| value == "close") {
            assert!(
                caller.ends_within(Duration::from_secs(5)).await,
                "the connection ends in order"
            );
        } else {
            let next = caller.call(&Call::new("b", "/book/1")).await;
            assert!(next.is_some(), "a connection that is kept stays usable");
        }
    });
}

#[test]
fn short_body_keeps_connection() {
    World::run(async {
        let (world, _) = start(Cause::NoRoute).await;
        let mut caller = world.caller().await;

        send_slowly(&mut caller, Framing::Length, 10, Duration::from_millis(10)).await;
        let refusal = caller.read_reply().await.expect("the refusal arrives");
        let next = caller.call(&Call::new("b", "/book/1")).await.expect("the connection is kept");

        assert_eq!((refusal.status, next.status), (404, 200));
    });
}

#[test]
fn missing_body_bounded() {
    World::run(async {
        let (world, _) = start(Cause::NoRoute).await;
        let mut caller = world.caller().await;

        caller.send_bytes(head(Framing::Length, 100).as_bytes()).await.expect("sent");
        let refusal = tokio::time::timeout(Duration::from_secs(1), caller.read_reply()).await;

        assert_eq!(refusal.expect("refused without the body").map(|reply| reply.status), Some(404));
        assert!(caller.ends_within(Duration::from_secs(5)).await);
    });
}

#[rstest]
fn endless_body_bounded(#[values("/lost/1", "/book/1")] path: &str) {
    const BODY_MAX_BYTES: usize = 256 * 1024;
    World::run(async move {
        let world = start_limited(BODY_MAX_BYTES).await;
        let mut caller = world.caller().await;

        let head = head(Framing::Chunked, 0).replace("/lost/1", path);
        caller.send_bytes(head.as_bytes()).await.expect("sent");
        let mut sent = 0;
        let piece = piece(Framing::Chunked, 64 * 1024);
        while sent < 4 * SOCKET_BUFFERS_MAX_BYTES && caller.send_bytes(&piece).await.is_ok() {
            sent += piece.len();
        }

        assert!(sent < SOCKET_BUFFERS_MAX_BYTES + 4 * BODY_MAX_BYTES, "{sent} bytes were read");
    });
}

#[test]
fn oversized_body_refused() {
    const BODY_MAX_BYTES: usize = 1_000_000;
    World::run(async {
        let world = start_limited(BODY_MAX_BYTES).await;
        let mut caller = world.caller().await;

        let head = head(Framing::Length, BODY_MAX_BYTES * 3 / 2).replace("/lost/1", "/book/1");
        caller.send_bytes(head.as_bytes()).await.expect("sent");
        for _ in 0..3 {
            let piece = piece(Framing::Length, BODY_MAX_BYTES / 2);
            caller.send_bytes(&piece).await.expect("the entry reads the body");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let refusal = caller.read_reply().await.expect("the refusal arrives");

        assert_eq!(refusal.status, 413);
        assert_eq!(refusal.header("connection").as_deref(), Some("close"));
        assert!(caller.ends_within(Duration::from_secs(5)).await);
    });
}

#[test]
fn oversized_head_refused() {
    World::run(async {
        let (world, _) = start(Cause::NoRoute).await;
        let mut caller = world.caller().await;

        caller.send_bytes(b"GET /book/1 HTTP/1.1\r\nx-padding: ").await.expect("sent");
        for _ in 0..PIECES {
            let padding = vec![b'x'; 20_000];
            caller.send_bytes(&padding).await.expect("the entry reads the head");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let refusal = caller.read_reply().await.expect("the refusal arrives");

        assert_eq!(refusal.status, 431);
        assert!(caller.ends_within(Duration::from_secs(5)).await);
    });
}

#[test]
fn body_never_forwarded() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let world = World::start(vec![book()], &[&desk]).await;
        let mut caller = world.caller().await;
        let request = Call::new("b", "/book/1").text();

        caller.send_bytes(head(Framing::Length, request.len()).as_bytes()).await.expect("sent");
        tokio::time::sleep(Duration::from_millis(10)).await;
        // The connection has to change the size of its buffer when it becomes quiet.
        let limits = CallerLimits { header_max_bytes: 65_536, ..CallerLimits::default() };
        let changed = Deployment { limits, ..deployment(2, vec![book()]) };
        world.catalogue.write(CatalogueEvent::Deployment(changed));
        tokio::time::sleep(Duration::from_secs(2)).await;
        caller.send_bytes(request.as_bytes()).await.expect("the entry reads the body");

        assert_eq!(caller.read_reply().await.expect("the refusal arrives").status, 404);
        assert!(caller.ends_within(Duration::from_secs(5)).await);
        assert_eq!(desk.arrivals(), 0, "a body is no request");
    });
}
