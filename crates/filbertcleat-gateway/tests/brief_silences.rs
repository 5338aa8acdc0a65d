//! Machines that are silent for a while and go on: servers, agents and the entry itself.

mod support;

use std::time::Duration;

use filbertcleat_base::FailureDomain;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::ListedServer;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::Route;
use rstest::rstest;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::Site;
use self::support::World;
use self::support::backend::event;
use self::support::route;
use self::support::world::listed;

const RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: true };
/// Longer than any request in these tests.
const WAIT_MS: u64 = 60_000;

fn patient(route: Route) -> Route {
    Route { timeout_ms: WAIT_MS, ..route }
}

fn call(path: &'static str) -> Call {
    Call { wait_ms: WAIT_MS, ..Call::new("a", path) }
}

/// Guards against a request that is sent a second time, or given up, since its server is silent for
/// a second or two before it answers.
#[rstest]
fn request_waits(
    #[values(RetryPolicy::Idempotent, RetryPolicy::AtMostOnce)] kind: RetryPolicy,
    #[values(1_000, 2_000, 4_000)] silence_ms: u64,
) {
    World::run(async move {
        let after = Duration::from_millis(silence_ms);
        let script = Script::Respond { status: 200, body: "yes", after };
        let all = [Backend::start("d1", script.clone()).await, Backend::start("d2", script).await];
        let world = World::start(vec![patient(route("book", kind, 3))], &all.each_ref()).await;

        let reply = world.caller().await.call(&call("/book/1")).await.expect("a response");

        assert_eq!((reply.status, reply.body.as_str()), (200, "yes"));
        assert_eq!(all[0].arrivals() + all[1].arrivals(), 1, "the request was sent again");
    });
}

/// Guards against an engine that is given up, or whose stream is moved, since its agent is silent
/// for seconds while the engine serves.
#[test]
fn engine_outlasts_agent() {
    World::run(async {
        let events = Script::Events { count: 20, pause: Duration::from_millis(500) };
        let servers = vec![("w1".to_owned(), events.clone()), ("w2".to_owned(), events)];
        let site = Site::start(vec![patient(route("write", RESUMABLE, 3))], servers, 1).await;
        let mut caller = site.entries[0].caller().await;
        caller.send(&call("/write/1")).await.expect("the entry reads the request");
        tokio::time::sleep(Duration::from_millis(700)).await;
        for agent in &site.agents {
            agent.trigger();
        }

        let reply = caller.read_reply().await.expect("a response head");

        assert!(reply.is_complete);
        assert_eq!(reply.body, (1..=20).map(event).collect::<String>());
        let arrivals: usize = site.backends.iter().map(Backend::arrivals).sum();
        assert_eq!(arrivals, 1, "the stream was started again elsewhere");
        // The agents have been silent for more than 9 s by now.
        let later = Call { id: "b", ..call("/write/2") };
        let reply = site.entries[0].caller().await.call(&later).await.expect("a response head");
        assert!(reply.is_complete, "{reply:?}");
    });
}

/// Guards against streams that are cut, or started again elsewhere, after the entry itself stood
/// still: its timers are due before it has read what arrived meanwhile.
#[rstest]
fn entry_outlasts_freeze(
    #[values(true, false)] resumable: bool,
    #[values(1_700, 5_000, 20_000)] freeze_ms: u64,
) {
    World::run(async move {
        let mut first = Backend::start("w1", Script::Silent).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a port");
        first.address = listener.local_addr().expect("bound");
        let kind = RetryPolicy::Stream { resumable };
        let world = World::start(vec![patient(route("write", kind, 3))], &[&first]).await;
        let other = Backend::start("w2", Script::Events { count: 5, pause: Duration::ZERO }).await;
        // A server in another failure domain is the second choice.
        let distant = ListedServer { domain: FailureDomain::new("there"), ..listed(&other) };
        world.catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(distant)));
        tokio::time::sleep(Duration::from_secs(2)).await;
        let mut caller = world.caller().await;
        caller.send(&call("/write/1")).await.expect("the entry reads the request");
        let (mut stream, _) = listener.accept().await.expect("the entry connects");
        // Delayed acknowledgements would take real time, which paused time does not wait for.
        stream.set_nodelay(true).expect("the socket is open");
        let mut head = [0; 4_096];
        let mut length = stream.read(&mut head).await.expect("a request");
        if head.starts_with(b"GET /report ") {
            let report = "HTTP/1.1 200 X\r\nx-server: w1\r\ncontent-length: 9\r\n\r\nstarted 1";
            stream.write_all(report.as_bytes()).await.expect("the connection is open");
            length = stream.read(&mut head).await.expect("a request");
        }
        assert!(length > 0, "the connection has a request");
        let send = |text: String| {
            let sent =
                SockRef::from(&stream).send(text.as_bytes()).expect("the connection is open");
            assert_eq!(sent, text.len(), "the socket has room");
        };
        let chunk = |text: String| format!("{:x}\r\n{text}\r\n", text.len());
        let head = "HTTP/1.1 200 X\r\nx-id: a\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n";
        send(format!("{head}{}", chunk(event(1))));
        tokio::time::sleep(Duration::from_millis(300)).await;

        send(chunk(event(2)));
        tokio::time::advance(Duration::from_millis(freeze_ms)).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        send(format!("{}0\r\n\r\n", chunk(event(3))));
        let reply = caller.read_reply().await.expect("a response head");

        assert!(reply.is_complete, "the stream was cut after {:?}", reply.body);
        assert_eq!(reply.body, (1..=3).map(event).collect::<String>());
        assert_eq!(other.arrivals(), 0, "the stream was started again elsewhere");
    });
}
