//! Backend servers that send more than one response to a request, or send one too early.

mod support;

use std::io::Write;
use std::net::Shutdown;
use std::time::Duration;

use filbertcleat_serve::RetryPolicy;
use rstest::rstest;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::World;
use self::support::backend::header;
use self::support::route;

/// A request body that the sockets between an entry and a server don't hold.
const BODY_BYTES: usize = 4_000_000;

/// A backend server whose connections a test handles itself.
struct RawServer {
    backend: Backend,
    listener: TcpListener,
}

impl RawServer {
    async fn start() -> Self {
        Self::start_as("d1").await
    }

    async fn start_as(id: &str) -> Self {
        let mut backend = Backend::start(id, Script::Silent).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a port");
        backend.address = listener.local_addr().expect("bound");
        Self { backend, listener }
    }

    async fn accept(&self) -> TcpStream {
        let (stream, _) = self.listener.accept().await.expect("the entry connects");
        stream.set_nodelay(true).expect("the connection is open");
        stream
    }
}

/// Reads the head of a request, byte by byte, and returns the id of the request.
async fn read_id(stream: &mut TcpStream) -> String {
    header(&read_head(stream).await, "x-id").expect("an id")
}

/// Reads the head of a request, byte by byte.
async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a request"));
    }
    String::from_utf8(head).expect("the head is UTF-8")
}

fn response(id: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 200 X\r\nx-id: {id}\r\nx-seal: s\r\ncontent-length: {length}\r\n\r\n{body}")
        .into_bytes()
}

fn refusal(id: &str) -> Vec<u8> {
    format!("HTTP/1.1 503 X\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n")
        .into_bytes()
}

/// Guards against a second copy of a response, which arrives after the next request was sent on the
/// same connection, being forwarded to the next caller.
#[rstest]
#[case::at_most_once(RetryPolicy::AtMostOnce, 502)]
#[case::idempotent(RetryPolicy::Idempotent, 502)]
fn copy_is_never_forwarded(#[case] kind: RetryPolicy, #[case] status: u16) {
    World::run(async move {
        let server = RawServer::start().await;
        let world = World::start(vec![route("book", kind, 1)], &[&server.backend]).await;
        spawn_local(async move {
            let mut stream = server.accept().await;
            let first = read_id(&mut stream).await;
            stream.write_all(&response(&first, "first")).await.expect("written");
            read_id(&mut stream).await;
            stream.write_all(&response(&first, "first")).await.expect("written");
            server.accept().await
        });

        let mut caller = world.caller().await;
        let first = caller.call(&Call::new("a", "/book/1")).await.expect("a response");
        let second = caller.call(&Call::new("b", "/book/2")).await.expect("a response");

        assert_eq!((first.status, first.body.as_str()), (200, "first"));
        assert_eq!(second.status, status, "{second:?}");
        assert_ne!(second.body, "first", "a response was taken for that of another request");
    });
}

/// Guards against a late copy of a refusal being taken for the response to the same request, which
/// the caller has sent again and the server runs by now: the caller would let it run twice.
#[test]
fn copy_of_refusal_unused() {
    World::run(async {
        let server = RawServer::start().await;
        let routes = vec![route("book", RetryPolicy::AtMostOnce, 1)];
        let world = World::start(routes, &[&server.backend]).await;
        spawn_local(async move {
            let mut stream = server.accept().await;
            let id = read_id(&mut stream).await;
            stream.write_all(&refusal(&id)).await.expect("written");
            let mut again = tokio::select! {
                mut other = server.accept() => {
                    read_id(&mut other).await;
                    other
                }
                id = read_id(&mut stream) => {
                    stream.write_all(&refusal(&id)).await.expect("written");
                    stream
                }
            };
            again.write_all(&response(&id, "booked")).await.expect("written");
            std::future::pending::<()>().await;
        });

        let mut caller = world.caller().await;
        let refused = caller.call(&Call::new("a", "/book/1")).await.expect("a response");
        let booked = caller.call(&Call::new("a", "/book/1")).await.expect("a response");

        assert_eq!(refused.status, 503);
        assert_eq!((booked.status, booked.body.as_str()), (200, "booked"));
    });
}

/// Guards against a late copy of the answer to the question that follows an unframed response being
/// taken for the answer to the caller's request that comes next on the connection: the server runs
/// it, and the caller would be told that it does not.
#[rstest]
#[case::full("503 X\r\nx-not-run: 1")]
#[case::limited("429 X\r\nx-not-run: 1")]
#[case::misdirected("421 X\r\nx-server: d2")]
fn copy_of_end_answer_unused(#[case] answer: &str) {
    let answer = format!("HTTP/1.1 {answer}\r\ncontent-length: 0\r\n\r\n");
    World::run(async move {
        let server = RawServer::start().await;
        let routes = vec![route("book", RetryPolicy::AtMostOnce, 1)];
        let world = World::start(routes, &[&server.backend]).await;
        spawn_local(async move {
            let mut unframed = server.accept().await;
            let id = read_id(&mut unframed).await;
            let text = format!("HTTP/1.1 200 X\r\nx-id: {id}\r\nx-seal: s\r\n\r\nwhole");
            unframed.write_all(text.as_bytes()).await.expect("written");
            drop(unframed);
            let mut asked = server.accept().await;
            assert!(read_head(&mut asked).await.starts_with("GET /health "));
            asked.write_all(answer.as_bytes()).await.expect("written");
            assert_eq!(read_id(&mut asked).await, "b");
            asked.write_all(answer.as_bytes()).await.expect("written");
            std::future::pending::<()>().await;
        });

        let mut caller = world.caller().await;
        caller.call(&Call::new("a", "/book/1")).await.expect("a response");
        let run = caller.call(&Call::new("b", "/book/2")).await.expect("a response");

        assert_eq!(run.status, 502, "{run:?}");
    });
}

/// Guards against the same for the question that precedes a stream.
#[test]
fn copy_of_start_answer_unused() {
    World::run(async {
        let server = RawServer::start_as("w1").await;
        let resumable = RetryPolicy::Stream { resumable: true };
        let world = World::start(vec![route("write", resumable, 1)], &[&server.backend]).await;
        spawn_local(async move {
            const ANSWER: &[u8] =
                b"HTTP/1.1 503 X\r\nx-not-run: 1\r\ncontent-length: 9\r\n\r\nstarted 1";
            let mut asked = server.accept().await;
            assert!(read_head(&mut asked).await.starts_with("GET /report "));
            asked.write_all(ANSWER).await.expect("written");
            assert_eq!(read_id(&mut asked).await, "a");
            asked.write_all(ANSWER).await.expect("written");
            std::future::pending::<()>().await;
        });

        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        let reply = reply.expect("a response");
        assert_eq!(reply.status, 502, "{reply:?}");
    });
}

/// What answers the first request of a connection can answer nothing else: some servers turn
/// requests away before they read the id.
#[rstest]
#[case::full("503 X\r\nx-not-run: 1")]
#[case::limited("429 X\r\nx-not-run: 1")]
#[case::misdirected("421 X")]
fn first_answer_needs_no_id(#[case] answer: &str) {
    let answer = format!("HTTP/1.1 {answer}\r\ncontent-length: 0\r\n\r\n");
    World::run(async move {
        let server = RawServer::start().await;
        let routes = vec![route("book", RetryPolicy::AtMostOnce, 1)];
        let world = World::start(routes, &[&server.backend]).await;
        spawn_local(async move {
            let mut stream = server.accept().await;
            read_id(&mut stream).await;
            stream.write_all(answer.as_bytes()).await.expect("written");
            std::future::pending::<()>().await;
        });

        let reply = world.caller().await.call(&Call::new("a", "/book/1")).await;

        let reply = reply.expect("a response");
        assert_eq!(reply.status, 503, "{reply:?}");
    });
}

/// Guards against the use of a connection on which bytes have arrived, or which was closed, that
/// the runtime does not know of yet: a request that may not be sent twice would be lost with it.
#[rstest]
#[case::extra_response(true)]
#[case::closed(false)]
fn unnoticed_bytes_discard_connection(#[case] sends_copy: bool) {
    World::run(async move {
        let server = RawServer::start().await;
        let routes = vec![route("book", RetryPolicy::AtMostOnce, 1)];
        let world = World::start(routes, &[&server.backend]).await;
        let trigger = UdpSocket::bind("127.0.0.1:0").await.expect("loopback has a port");
        let trigger_address = trigger.local_addr().expect("bound");
        spawn_local(async move {
            let mut stream = server.accept().await;
            let first = read_id(&mut stream).await;
            stream.write_all(&response(&first, "first")).await.expect("written");
            // The trigger and the next request arrive in one turn of the runtime, the trigger first.
            trigger.readable().await.expect("the trigger is open");
            if sends_copy {
                let copy = response(&first, "first");
                let mut socket = &*SockRef::from(&stream);
                socket.write_all(&copy).expect("the socket has room");
            } else {
                SockRef::from(&stream).shutdown(Shutdown::Both).expect("the connection is open");
            }
            let mut next = server.accept().await;
            let id = read_id(&mut next).await;
            next.write_all(&response(&id, "second")).await.expect("written");
            std::future::pending::<()>().await;
        });

        let mut caller = world.caller().await;
        let first = caller.call(&Call::new("a", "/book/1")).await.expect("a response");
        assert_eq!((first.status, first.body.as_str()), (200, "first"));
        tokio::time::sleep(Duration::from_millis(100)).await;
        let sender = std::net::UdpSocket::bind("127.0.0.1:0").expect("loopback has a port");
        sender.send_to(b"x", trigger_address).expect("sent");
        caller.send_at_once(Call::new("b", "/book/2").text().as_bytes());
        let second = caller.read_reply().await.expect("a response");

        assert_eq!((second.status, second.body.as_str()), (200, "second"));
    });
}

/// Guards against the reuse of a connection whose server answered before it had read the request:
/// the rest of the body would be read as the start of the next request.
#[test]
fn early_response_keeps_order() {
    World::run_in_real_time(async {
        let server = RawServer::start().await;
        let routes = vec![route("book", RetryPolicy::AtMostOnce, 1)];
        let world = World::start(routes, &[&server.backend]).await;
        spawn_local(async move {
            let mut stream = server.accept().await;
            let id = read_id(&mut stream).await;
            stream.write_all(&response(&id, "early")).await.expect("written");
            let mut other = server.accept().await;
            let id = read_id(&mut other).await;
            other.write_all(&response(&id, "own")).await.expect("written");
            std::future::pending::<()>().await;
        });

        let mut caller = world.caller().await;
        let head = Call { extra: "content-length: 4000000\r\n", ..Call::new("a", "/book/1") };
        caller.send(&head).await.expect("the entry reads the head");
        caller.send_bytes(&vec![b'x'; BODY_BYTES]).await.expect("the entry reads the body");
        let early = caller.read_reply().await.expect("a response");
        let own = caller.call(&Call::new("b", "/book/2")).await.expect("a response");

        assert_eq!((early.status, early.body.as_str()), (200, "early"));
        assert_eq!((own.status, own.body.as_str()), (200, "own"));
    });
}
