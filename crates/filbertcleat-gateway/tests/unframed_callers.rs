//! Streams to callers of HTTP/1.0, whose end only the connection shows.

mod support;

use std::time::Duration;

use filbertcleat_serve::RetryPolicy;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::task::LocalSet;

use self::support::Backend;
use self::support::Call;
use self::support::Caller;
use self::support::Script;
use self::support::World;
use self::support::backend::event;
use self::support::route;

const NOT_RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: false };
const WHOLE: Script = Script::Events { count: 3, pause: Duration::from_millis(20) };

/// Guards against a stream that was cut and ends like a whole one.
#[rstest]
#[case::whole(WHOLE, true)]
#[case::cut(Script::EventsThenCut { count: 3 }, false)]
fn cut_is_reset(#[case] script: Script, #[case] is_whole: bool) {
    World::run(async move {
        let writer = Backend::start("w1", script).await;
        let world = World::start(vec![route("write", NOT_RESUMABLE, 1)], &[&writer]).await;
        let mut caller = world.caller().await;
        let text = Call::new("a", "/write/1").text().replace("HTTP/1.1", "HTTP/1.0");
        caller.send_bytes(text.as_bytes()).await.expect("the entry reads the request");

        let received = caller.read_to_end().await;

        assert_eq!(received.is_ok(), is_whole, "{received:?}");
        if let Ok(received) = received {
            let events: String = (1..=3).map(event).collect();
            assert!(received.ends_with(events.as_bytes()), "{received:?}");
        }
    });
}

/// Guards against an entry that is killed, or ends at its grace time, under a stream: its kernel would
/// close the connection in order. A stream that is whole by then is not lost.
#[rstest]
#[case::running(100, false)]
#[case::whole(3, true)]
fn entry_end_is_reset(#[case] count: u64, #[case] is_whole: bool) {
    World::run(async move {
        let pause = Duration::from_millis(20);
        let writer = Backend::start("w1", Script::Events { count, pause }).await;
        let machine = LocalSet::new();
        let run = async {
            let world = World::start(vec![route("write", NOT_RESUMABLE, 1)], &[&writer]).await;
            let mut caller = world.caller().await;
            let text = Call::new("a", "/write/1").text().replace("HTTP/1.1", "HTTP/1.0");
            caller.send_bytes(text.as_bytes()).await.expect("the entry reads the request");
            tokio::time::sleep(Duration::from_millis(200)).await;
            caller
        };
        let mut caller: Caller = machine.run_until(run).await;
        drop(machine);

        let received = caller.read_to_end().await;

        assert_eq!(received.is_ok(), is_whole, "{received:?}");
    });
}

/// Guards against a whole stream that is lost with its entry although the kernel has taken all of it:
/// the caller reads slowly.
#[test]
fn whole_stream_outlives_entry() {
    const BYTES: usize = 4_000;
    const COUNT: u64 = 16;
    World::run(async {
        let script = Script::LargeEvents { count: COUNT, bytes: BYTES };
        let writer = Backend::start("w1", script).await;
        let machine = LocalSet::new();
        let run = async {
            let world = World::start(vec![route("write", NOT_RESUMABLE, 1)], &[&writer]).await;
            let socket = TcpSocket::new_v4().expect("a socket");
            socket.set_recv_buffer_size(4_096).expect("a small buffer");
            let mut stream = socket.connect(world.callers).await.expect("the entry listens");
            let text = Call::new("a", "/write/1").text().replace("HTTP/1.1", "HTTP/1.0");
            stream.write_all(text.as_bytes()).await.expect("the entry reads the request");
            tokio::time::sleep(Duration::from_millis(200)).await;
            stream
        };
        let mut stream = machine.run_until(run).await;
        drop(machine);

        let mut received = String::new();
        let read = stream.read_to_string(&mut received).await;

        assert!(read.is_ok(), "{read:?}");
        assert_eq!(received.matches("data: ").count() as u64, COUNT);
    });
}
