//! The timers of connections to backend servers.

mod support;

use std::time::Duration;

use filbertcleat_base::FailureDomain;
use filbertcleat_base::ServiceName;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::ListedServer;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::ServerId;
use rstest::rstest;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::World;
use self::support::backend::event;
use self::support::route;

/// Longer than all socket timers. The timers run in the kernel, so the tests here run in real time.
const SILENCE: Duration = Duration::from_millis(2_500);
/// More than the receive buffer of the server below and the send buffer of the entry hold.
const BODY_BYTES: usize = 900_000;

fn run_in_real_time(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    LocalSet::new().block_on(&runtime, test);
}

/// The kernel of a silent server still acknowledges, so no socket timer ends its stream.
#[test]
fn silence_outlasts_timers() {
    run_in_real_time(async {
        let script = Script::EventsWithSilence { count: 5, after: 3, silence: SILENCE };
        let silent = Backend::start("w1", script).await;
        let routes = vec![route("write", RetryPolicy::Stream { resumable: true }, 1)];
        let world = World::start(routes, &[&silent]).await;

        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        let reply = reply.expect("a response head");
        assert!(reply.is_complete, "the stream was cut after {:?}", reply.body);
        assert_eq!(reply.body, (1..=5).map(event).collect::<String>());
    });
}

/// A server that reads a long body late has acknowledged all that fits its buffer, and is sound.
#[rstest]
#[case::reads_at_once(Duration::ZERO)]
#[case::reads_late(SILENCE)]
fn late_body_reader(#[case] delay: Duration) {
    run_in_real_time(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a port");
        SockRef::from(&listener).set_recv_buffer_size(4_096).expect("a small buffer");
        let address = listener.local_addr().expect("bound");
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(read_late(stream, delay));
            }
        });
        let world = World::start(vec![route("call", RetryPolicy::AtMostOnce, 1)], &[]).await;
        let server = ListedServer {
            id: ServerId::new("d1"),
            service: ServiceName::new("desk"),
            address,
            domain: FailureDomain::new("here"),
            concurrency_limit: 6,
            software_version: filbertcleat_serve::SoftwareVersion::new("v1"),
            is_draining: false,
            models: Vec::new(),
            started_unix_ms: 1,
        };
        world.catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(server)));
        tokio::time::sleep(Duration::from_secs(1)).await;
        let mut caller = TcpStream::connect(world.callers).await.expect("the entry listens");
        let head = format!(
            "POST /call/1 HTTP/1.1\r\nhost: desk.example\r\nx-id: a\r\nx-wait-ms: 8000\r\n\
             content-length: {BODY_BYTES}\r\n\r\n"
        );
        caller.write_all(head.as_bytes()).await.expect("written");
        caller.write_all(&vec![b'x'; BODY_BYTES]).await.expect("written");

        let mut reply = [0; 256];
        let length = caller.read(&mut reply).await.expect("read");

        let reply = String::from_utf8_lossy(&reply[..length]);
        assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    });
}

/// Reads a request with its body after a delay and responds.
async fn read_late(mut stream: TcpStream, delay: Duration) {
    tokio::time::sleep(delay).await;
    let mut request = Vec::new();
    let mut part = vec![0; 65_536];
    while request.len() < BODY_BYTES {
        match stream.read(&mut part).await {
            Ok(length) if length > 0 => request.extend_from_slice(&part[..length]),
            _ => return,
        }
    }
    let response = "HTTP/1.1 200 X\r\nx-id: a\r\nx-seal: s\r\ncontent-length: 0\r\n\r\n";
    // The entry may have closed the connection, which the caller's response shows.
    let _ = stream.write_all(response.as_bytes()).await;
    std::future::pending::<()>().await;
}
