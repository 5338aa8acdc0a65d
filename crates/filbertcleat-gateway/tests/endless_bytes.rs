//! Backend servers that send bytes without end.

mod support;

use std::time::Duration;

use filbertcleat_serve::RetryPolicy;
use rstest::rstest;
use tokio::time::Instant;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::World;
use self::support::backend::large_event;
use self::support::caller::Reply;
use self::support::route;

const AT_MOST_ONCE: RetryPolicy = RetryPolicy::AtMostOnce;
const IDEMPOTENT: RetryPolicy = RetryPolicy::Idempotent;
const NOT_RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: false };
const RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: true };

const RESPONSE: Script =
    Script::Respond { status: 200, body: "confirmed", after: Duration::from_millis(60) };
const TWO_EVENTS: Script = Script::Events { count: 2, pause: Duration::from_millis(20) };

/// What the sockets of one connection buffer at most here.
const SOCKETS_MAX_BYTES: usize = 16 * 1024 * 1024;
/// The most bytes written of a head or of one event, of which the entry reads 1 MiB.
const PIECE_MAX_BYTES: usize = 1024 * 1024 + SOCKETS_MAX_BYTES;
/// The most bytes written of a response that is no stream, of which the entry reads 16 MiB.
const RESPONSE_MAX_BYTES: usize = 16 * 1024 * 1024 + SOCKETS_MAX_BYTES;
/// The time for a final answer, far below the deadline of 5 s.
const ANSWER_MAX: Duration = Duration::from_secs(1);

const NO_HTTP: Script = Script::Endless { start: "", piece: "\u{1}garbage " };
const BLANK_LINES: Script = Script::Endless { start: "", piece: "\r\n" };
const HEADER_LINE: Script = Script::Endless { start: "HTTP/1.1 200 X\r\nx-junk: ", piece: "x" };
const HEADER_LINES: Script = Script::Endless { start: "HTTP/1.1 200 X\r\n", piece: "x-a: b\r\n" };
const CONTINUE_HEADS: Script =
    Script::Endless { start: "", piece: "HTTP/1.1 100 Continue\r\n\r\n" };
const HINT_HEADS: Script =
    Script::Endless { start: "", piece: "HTTP/1.1 103 Hints\r\nx-a: b\r\n\r\n" };

/// A chunk of 32 bytes.
const CHUNK: &str = "20\r\nxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n";
const UNFRAMED: Script = Script::Endless { start: "HEAD\r\n", piece: "x" };
const COUNTED: Script =
    Script::Endless { start: "HEADcontent-length: 99999999999\r\n\r\n", piece: "x" };
const CHUNKS: Script =
    Script::Endless { start: "HEADtransfer-encoding: chunked\r\n\r\n", piece: CHUNK };
const SMALL_CHUNKS: Script =
    Script::Endless { start: "HEADtransfer-encoding: chunked\r\n\r\n", piece: "4\r\nxxxx\r\n" };
const CHUNK_GARBAGE: Script =
    Script::Endless { start: "HEADtransfer-encoding: chunked\r\n\r\n", piece: "no chunk " };
const CHUNK_LENGTH: Script =
    Script::Endless { start: "HEADtransfer-encoding: chunked\r\n\r\n", piece: "0" };
const CHUNK_EXTENSION: Script =
    Script::Endless { start: "HEADtransfer-encoding: chunked\r\n\r\n1;", piece: "x" };
const TRAILERS: Script =
    Script::Endless { start: "HEADtransfer-encoding: chunked\r\n\r\n0\r\n", piece: "x-a: b\r\n" };
const REFUSAL_BODY: Script = Script::Endless {
    start: "HTTP/1.1 503 X\r\nx-id: a\r\nx-not-run: 1\r\ntransfer-encoding: chunked\r\n\r\n",
    piece: CHUNK,
};

/// What was seen of a request to backend servers that send without end.
#[derive(Debug)]
struct Observed {
    reply: Reply,
    took: Duration,
    servers: [Backend; 2],
}

impl Observed {
    /// Checks that the entry read at most `bytes_max` of each response and closed its connection.
    fn assert_cut_off(&self, bytes_max: usize) {
        assert!(self.took <= ANSWER_MAX, "the answer took {:?}", self.took);
        let reached = |server: &&Backend| server.endless_bytes.get() > 0;
        assert!(self.servers.iter().any(|server| reached(&server)), "no server was reached");
        for server in self.servers.iter().filter(reached) {
            let bytes = server.endless_bytes.get();
            assert!(bytes <= bytes_max, "{} wrote {bytes} bytes", server.id);
            assert_eq!(server.cancelled.get(), 1, "{} kept its connection", server.id);
        }
    }
}

/// Sends a request to two servers that play `script`, and beside it one to a sound server; later
/// sends another to the first servers, which play sound by then.
async fn play(kind: RetryPolicy, attempts_max: u32, script: Script) -> Observed {
    let is_stream = matches!(kind, RetryPolicy::Stream { .. });
    let (ids, sound, sound_elsewhere, other_kind) = if is_stream {
        (["w1", "w2"], TWO_EVENTS, RESPONSE, IDEMPOTENT)
    } else {
        (["d1", "d2"], RESPONSE, TWO_EVENTS, NOT_RESUMABLE)
    };
    let servers =
        [Backend::start(ids[0], sound.clone()).await, Backend::start(ids[1], sound.clone()).await];
    let elsewhere = Backend::start(if is_stream { "d3" } else { "w3" }, sound_elsewhere).await;
    let routes = vec![route("play", kind, attempts_max), route("other", other_kind, 1)];
    let world = World::start(routes, &[&servers[0], &servers[1], &elsewhere]).await;
    for server in &servers {
        server.script_next(script.clone());
    }

    let started_at = Instant::now();
    let (call, other_call) = (Call::new("a", "/play/1"), Call::new("b", "/other/1"));
    let (mut caller, mut other_caller) = (world.caller().await, world.caller().await);
    let (reply, other) = tokio::join!(
        async { (caller.call(&call).await, started_at.elapsed()) },
        other_caller.call(&other_call)
    );
    let other = other.expect("a response");
    assert!(other.status == 200 && other.is_complete, "another request was disturbed: {other:?}");

    // The connections are closed by then, and the servers are used again.
    tokio::time::sleep(Duration::from_secs(4)).await;
    servers.iter().for_each(Backend::drop_scripts);
    let later = world.caller().await.call(&Call::new("c", "/play/2")).await.expect("a response");
    assert!(later.status == 200 && later.is_complete, "a later request failed: {later:?}");
    let connections: usize = servers.iter().map(|server| server.used_connections.get()).sum();
    let arrivals: usize = servers.iter().map(Backend::arrivals).sum();
    assert_eq!(connections, arrivals, "a connection was used again");
    Observed { reply: reply.0.expect("a response head"), took: reply.1, servers }
}

#[rstest]
fn head_without_end(
    #[values(AT_MOST_ONCE, IDEMPOTENT, NOT_RESUMABLE, RESUMABLE)] kind: RetryPolicy,
    #[values(NO_HTTP, BLANK_LINES, HEADER_LINE, HEADER_LINES, CONTINUE_HEADS, HINT_HEADS)]
    script: Script,
) {
    World::run(async {
        let observed = play(kind, 2, script).await;

        assert_eq!(observed.reply.status, 502, "{:?}", observed.reply);
        observed.assert_cut_off(PIECE_MAX_BYTES);
    });
}

#[rstest]
fn body_without_end(
    #[values(AT_MOST_ONCE, IDEMPOTENT)] kind: RetryPolicy,
    #[values(UNFRAMED, COUNTED, CHUNKS, CHUNK_GARBAGE, CHUNK_LENGTH, CHUNK_EXTENSION, TRAILERS)]
    script: Script,
) {
    World::run(async {
        let observed = play(kind, 2, script).await;

        assert_eq!(observed.reply.status, 502, "{:?}", observed.reply);
        observed.assert_cut_off(RESPONSE_MAX_BYTES);
    });
}

#[rstest]
fn event_without_end(
    #[values(NOT_RESUMABLE, RESUMABLE)] kind: RetryPolicy,
    #[values(
        UNFRAMED,
        COUNTED,
        CHUNKS,
        SMALL_CHUNKS,
        CHUNK_GARBAGE,
        CHUNK_LENGTH,
        CHUNK_EXTENSION,
        TRAILERS
    )]
    script: Script,
) {
    World::run(async {
        let observed = play(kind, 2, script).await;

        assert_eq!(observed.reply.status, 200);
        assert!(!observed.reply.is_complete, "the stream looks complete");
        assert_eq!(observed.reply.body, "", "bytes that are no event were forwarded");
        observed.assert_cut_off(PIECE_MAX_BYTES);
    });
}

#[rstest]
fn refusal_without_end(
    #[values(AT_MOST_ONCE, IDEMPOTENT, NOT_RESUMABLE, RESUMABLE)] kind: RetryPolicy,
) {
    World::run(async {
        let observed = play(kind, 1, REFUSAL_BODY).await;

        assert_eq!(observed.reply.status, 503);
        observed.assert_cut_off(PIECE_MAX_BYTES);
    });
}

#[test]
fn sound_server_answers() {
    World::run(async {
        let (broken, sound) =
            (Backend::start("d1", CHUNKS).await, Backend::start("d2", RESPONSE).await);
        let world = World::start(vec![route("look", IDEMPOTENT, 2)], &[&broken, &sound]).await;

        for id in ["a", "b"] {
            let reply = world.caller().await.call(&Call::new(id, "/look/1")).await;
            let reply = reply.expect("a response");
            assert_eq!((reply.status, reply.body.as_str()), (200, "confirmed"));
        }
        assert!(broken.endless_bytes.get() <= broken.arrivals() * RESPONSE_MAX_BYTES);
    });
}

#[test]
fn large_event_forwarded() {
    World::run(async {
        let writer = Backend::start("w1", Script::LargeEvent { data_bytes: 500_000 }).await;
        let world = World::start(vec![route("write", NOT_RESUMABLE, 1)], &[&writer]).await;

        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        let reply = reply.expect("a response");
        assert!(reply.is_complete);
        assert_eq!(reply.body, large_event(500_000));
    });
}
