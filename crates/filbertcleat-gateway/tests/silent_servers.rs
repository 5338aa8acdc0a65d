//! Backend servers that fall silent for a while and then go on.

mod support;

use std::time::Duration;

use filbertcleat_base::FailureDomain;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_gateway::RetryBudgetSettings;
use filbertcleat_serve::ListedServer;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use rstest::rstest;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::World;
use self::support::backend::event;
use self::support::route;
use self::support::world::listed;

const RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: true };
/// Longer than the stall timeout and shorter than any deadline.
const SILENCE: Duration = Duration::from_secs(2);
/// A receive window that a request fills.
const WINDOW_BYTES: usize = 4_096;
/// More than the window and the buffers of loopback hold.
const BODY_BYTES: usize = 3_000_000;
const SILENT_ONCE: Script = Script::EventsWithSilence { count: 5, after: 3, silence: SILENCE };

fn five_events() -> String {
    (1..=5).map(event).collect()
}

/// Why a silent stream can't move to another backend server.
#[derive(Clone, Copy, Debug)]
enum Obstacle {
    /// There is no other backend server.
    NoOtherServer,
    /// The route allows one attempt.
    NoAttempt,
    /// The retry budget is used up.
    NoBudget,
    /// The other backend server turns requests away.
    OtherIsFull,
}

/// A backend server that is silent for a while still completes its stream, so the caller must not
/// lose the response when the stream can't move to another server.
#[rstest]
#[case::no_other_server(Obstacle::NoOtherServer)]
#[case::no_attempt(Obstacle::NoAttempt)]
#[case::no_budget(Obstacle::NoBudget)]
#[case::other_is_full(Obstacle::OtherIsFull)]
fn silence_is_outlasted(#[case] obstacle: Obstacle) {
    World::run(async move {
        let silent = Backend::start("w1", SILENT_ONCE).await;
        let full = Backend::start("w2", Script::NotRun).await;
        let attempts_max = if matches!(obstacle, Obstacle::NoAttempt) { 1 } else { 2 };
        let routes = vec![route("write", RESUMABLE, attempts_max)];
        let backends: &[&Backend] = match obstacle {
            Obstacle::OtherIsFull => &[&silent, &full],
            Obstacle::NoOtherServer | Obstacle::NoAttempt | Obstacle::NoBudget => &[&silent],
        };
        let world = World::start(routes, backends).await;
        if matches!(obstacle, Obstacle::NoBudget) {
            let none = RetryBudgetSettings { ratio: 0.0, slack: 0.0, window_ms: 10_000 };
            world.retry_budget.send_replace(none);
        }

        let mut caller = world.caller().await;
        let reply = loop {
            let reply = caller.call(&Call::new("a", "/write/1")).await.expect("a response head");
            // The full server may be the first that is asked; then the caller asks again.
            if reply.status == 200 {
                break reply;
            }
        };

        assert!(reply.is_complete, "the stream was cut after {:?}", reply.body);
        assert_eq!(reply.body, five_events());
    });
}

#[test]
fn stream_leaves_hung_server() {
    World::run(async {
        let hung_after_three =
            Script::EventsWithSilence { count: 5, after: 3, silence: Duration::from_secs(60) };
        let (hung, other) = (
            Backend::start("w1", hung_after_three.clone()).await,
            Backend::start("w2", hung_after_three).await,
        );
        let world = World::start(vec![route("write", RESUMABLE, 2)], &[&hung, &other]).await;

        // The second server starts after event 3 and does not fall silent any more.
        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        let reply = reply.expect("a response head");
        assert!(reply.is_complete, "the stream was cut after {:?}", reply.body);
        assert_eq!(reply.body, five_events());
        assert_eq!((hung.arrivals(), other.arrivals()), (1, 1));
    });
}

#[test]
fn recovered_server_keeps_stream() {
    World::run(async {
        let silence = Duration::from_millis(1_600);
        let silent =
            Backend::start("w1", Script::EventsWithSilence { count: 5, after: 3, silence }).await;
        let slow = Backend::start("w2", Script::Silent).await;
        let world = World::start(vec![route("write", RESUMABLE, 2)], &[&silent]).await;
        // A server in another failure domain is the second choice.
        let distant = ListedServer { domain: FailureDomain::new("there"), ..listed(&slow) };
        world.catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(distant)));
        tokio::time::sleep(Duration::from_secs(2)).await;

        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        let reply = reply.expect("a response head");
        assert!(reply.is_complete, "the stream was cut after {:?}", reply.body);
        assert_eq!(reply.body, five_events());
        assert_eq!((silent.arrivals(), slow.arrivals()), (1, 1));
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(slow.cancelled.get(), 1, "the second server was not released");
    });
}

/// A backend server that reads nothing for a while closes its receive window. The kernel's timers
/// run in real time, so this test does too.
#[test]
fn full_window_outlasted() {
    World::run_in_real_time(async {
        let mut silent = Backend::start("d1", Script::Silent).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a port");
        SockRef::from(&listener).set_recv_buffer_size(WINDOW_BYTES).expect("the size is valid");
        silent.address = listener.local_addr().expect("bound");
        let routes = vec![route("book", RetryPolicy::AtMostOnce, 1)];
        let world = World::start(routes, &[&silent]).await;
        let server = spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("the entry connects");
            tokio::time::sleep(SILENCE).await;
            let mut request = vec![0; BODY_BYTES];
            stream.read_exact(&mut request).await?;
            let response = "HTTP/1.1 200 X\r\nx-id: a\r\nx-seal: s\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(response.as_bytes()).await
        });

        let mut caller = TcpStream::connect(world.callers).await.expect("the entry listens");
        let head = format!(
            "POST /book/1 HTTP/1.1\r\nhost: desk.example\r\nx-id: a\r\nx-wait-ms: 9000\r\n\
             content-length: {BODY_BYTES}\r\nconnection: close\r\n\r\n"
        );
        caller.write_all(head.as_bytes()).await.expect("the entry reads the head");
        caller.write_all(&vec![b'x'; BODY_BYTES]).await.expect("the entry reads the body");
        let mut response = String::new();
        caller.read_to_string(&mut response).await.expect("the entry responds");

        server.await.expect("the server runs").expect("the connection outlasts the silence");
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    });
}
