//! Callers that read their responses slowly or not at all, and backend servers that read requests so.

mod support;

use std::time::Duration;

use filbertcleat_base::ServiceName;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::Route;
use filbertcleat_serve::Target;
use futures_util::future::join_all;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::Instant;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::World;
use self::support::route;

/// A response that exceeds the socket buffers between an entry and a slow caller.
const LARGE_BYTES: usize = 4 * 1024 * 1024;
/// What a slow caller reads before each pause: with the pause, more than the kernel must see in the
/// time after which a reader counts as stalled.
const PIECE_BYTES: usize = 128 * 1024;
/// The time within which the entry must let go of a caller that has stopped reading.
const STALL_MAX: Duration = Duration::from_secs(15);
/// What an entry may hold of a stream for one caller: 16 MiB as of any response, and an event that
/// the HTTP library has taken ahead.
const STREAM_MAX_BYTES: u64 = 17 * 1024 * 1024;
/// A stream that exceeds this bound within the number of events that are queued.
const HUGE_EVENTS: Script = Script::LargeEvents { count: 32, bytes: 900_000 };
const WAIT_MS: u64 = 120_000;
/// The memory of the smallest VMs, and a number of slow callers that exceeds it.
const MEMORY_MB: u64 = 112;
const SLOW_CALLERS: usize = 80;

/// How the backend server responds.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Complete,
    Stream,
}

/// Starts an entry and sends a request with a large response.
async fn start_response(kind: Kind) -> (World, Backend, TcpStream) {
    let (backend, route) = large_response(kind).await;
    let world = World::start(vec![route], &[&backend]).await;
    let caller = send_request(&world).await;
    (world, backend, caller)
}

/// Returns a backend server that sends large responses, and the route to it.
async fn large_response(kind: Kind) -> (Backend, Route) {
    let (id, script, policy) = match kind {
        Kind::Complete => {
            let body: &'static str = "x".repeat(LARGE_BYTES).leak();
            let script = Script::Respond { status: 200, body, after: Duration::ZERO };
            ("d1", script, RetryPolicy::AtMostOnce)
        }
        Kind::Stream => {
            let script = Script::LargeEvents { count: 16, bytes: LARGE_BYTES / 16 };
            ("w1", script, RetryPolicy::Stream { resumable: false })
        }
    };
    let backend = Backend::start(id, script).await;
    (backend, Route { timeout_ms: WAIT_MS, ..route("read", policy, 1) })
}

/// Sends a request on a connection with a small window, and lets its response arrive.
async fn send_request(world: &World) -> TcpStream {
    let caller = open_request(world).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    caller
}

/// Sends a request on a connection with a small window.
async fn open_request(world: &World) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(16 * 1024).expect("the size is valid");
    let mut caller = socket.connect(world.callers).await.expect("the entry listens");
    caller.set_nodelay(true).expect("the connection is open");
    let call = Call { wait_ms: WAIT_MS, ..Call::new("a", "/read/1") };
    caller.write_all(call.text().as_bytes()).await.expect("the entry reads the request");
    caller
}

async fn held(world: &World, reader: &str) -> u64 {
    let series = format!("filbertcleat_held_bytes{{for=\"{reader}\"}}");
    world.metric(&series).await.expect("the gauge is served")
}

/// Guards against memory and a connection that are kept for ever for a caller that has stopped
/// reading, and against unbounded queues of streams.
#[rstest]
fn stalled_reader_disconnected(#[values(Kind::Complete, Kind::Stream)] kind: Kind) {
    World::run(async move {
        let (world, backend, mut caller) = start_response(kind).await;
        if matches!(kind, Kind::Stream) {
            drop(caller);
            backend.set_default(HUGE_EVENTS);
            caller = send_request(&world).await;
        }
        let started = Instant::now();
        let held_max = match kind {
            Kind::Complete => LARGE_BYTES as u64,
            Kind::Stream => STREAM_MAX_BYTES,
        };
        let held_first = held(&world, "callers").await;
        assert!(held_first > 0 && held_first <= held_max, "{held_first} bytes are held");

        while held(&world, "callers").await > 0 {
            let waited = started.elapsed();
            assert!(waited <= STALL_MAX, "the response is kept for longer than {waited:?}");
            tokio::time::sleep(Duration::from_millis(500)).await;
        }

        let mut rest = Vec::new();
        let read = caller.read_to_end(&mut rest).await;
        assert!(read.is_err(), "the connection was not reset");
        assert!(rest.len() < LARGE_BYTES, "the kernel kept the whole response");
    });
}

/// Guards against the cut of a caller that reads slowly, but reads.
#[rstest]
fn slow_reader_served(#[values(Kind::Complete, Kind::Stream)] kind: Kind) {
    World::run(async move {
        let (world, _backend, mut caller) = start_response(kind).await;

        let mut total = 0;
        let mut piece = vec![0; PIECE_BYTES];
        while total < LARGE_BYTES {
            tokio::time::sleep(Duration::from_secs(2)).await;
            let length = caller.read_exact(&mut piece).await.expect("the caller is not cut");
            total += length;
        }

        drop(caller);
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(held(&world, "callers").await, 0);
    });
}

/// Guards against slow callers who together exceed the memory of a small VM, and against the bound
/// cutting them or delaying short responses. The kernel's timers run in real time, so this test does
/// too.
#[rstest]
fn slow_readers_bounded_together(#[values(Kind::Complete, Kind::Stream)] kind: Kind) {
    World::run_in_real_time(async move {
        let (mut backend, mut route) = large_response(kind).await;
        // A plain service, which takes as many streams at once.
        backend.id = "d1".to_owned();
        route.targets = vec![Target { service: ServiceName::new("desk"), weight: 1 }];
        let world = World::start_with_memory(MEMORY_MB, vec![route], &[&backend]).await;
        let mut callers = Vec::new();
        for _ in 0..SLOW_CALLERS {
            callers.push(open_request(&world).await);
            tokio::time::sleep(Duration::from_millis(10)).await;
            let held = held(&world, "callers").await;
            assert!(held <= MEMORY_MB * 1_000_000 / 2, "{held} bytes are held");
        }

        backend.set_default(match kind {
            Kind::Complete => Script::Respond { status: 200, body: "ok", after: Duration::ZERO },
            Kind::Stream => Script::Events { count: 5, pause: Duration::ZERO },
        });
        let reply = world.caller().await.call(&Call::new("short", "/read/1")).await;
        assert!(reply.is_some_and(|reply| reply.status == 200 && reply.is_complete));

        let reads = callers.into_iter().map(|mut caller| async move {
            let mut total = 0;
            let mut piece = vec![0; PIECE_BYTES];
            while total < LARGE_BYTES {
                let length = caller.read(&mut piece).await.expect("the caller is not cut");
                assert!(length > 0, "the response ends after {total} bytes");
                total += length;
            }
        });
        join_all(reads).await;
    });
}

/// Guards against bodies that are held for a backend server which has stopped reading, and against
/// a count of them that does not go down. The kernel's timers run in real time, so this test does
/// too.
#[test]
fn stalled_server_disconnected() {
    World::run_in_real_time(async {
        const BODY_BYTES: usize = 3_000_000;
        let mut silent = Backend::start("d1", Script::Silent).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a port");
        silent.address = listener.local_addr().expect("bound");
        let route = Route { timeout_ms: WAIT_MS, ..route("book", RetryPolicy::AtMostOnce, 1) };
        let world = World::start(vec![route], &[&silent]).await;
        spawn_local(async move {
            let _open = listener.accept().await.expect("the entry connects");
            std::future::pending::<()>().await;
        });

        let mut caller = TcpStream::connect(world.callers).await.expect("the entry listens");
        let head = format!(
            "POST /book/1 HTTP/1.1\r\nhost: desk.example\r\nx-id: a\r\nx-wait-ms: {WAIT_MS}\r\n\
             content-length: {BODY_BYTES}\r\nconnection: close\r\n\r\n"
        );
        caller.write_all(head.as_bytes()).await.expect("the entry reads the head");
        caller.write_all(&vec![b'x'; BODY_BYTES]).await.expect("the entry reads the body");
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(held(&world, "servers").await, BODY_BYTES as u64);

        let mut response = String::new();
        let read = caller.read_to_string(&mut response);
        let read = tokio::time::timeout(STALL_MAX, read).await.expect("the request ends");
        read.expect("the entry responds");
        assert!(response.starts_with("HTTP/1.1 502"), "{response}");
        assert_eq!(held(&world, "servers").await, 0);
    });
}
