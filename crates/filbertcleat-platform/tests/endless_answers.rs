//! Servers that send bytes without end to the HTTP client.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::Step;
use filbertcleat_platform::CallError;
use filbertcleat_platform::HttpClient;
use filbertcleat_platform::HttpRequest;
use http::Method;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

/// The largest response that a request allows here.
const RESPONSE_MAX_BYTES: usize = 1024 * 1024;
/// What the sockets of one connection buffer at most here.
const SOCKETS_MAX_BYTES: usize = 16 * 1024 * 1024;
/// The bytes after which a server gives up and falls silent.
const ENDLESS_MAX_BYTES: usize = 40 * 1024 * 1024;

#[rstest]
#[case::garbage("", "\u{1}garbage ")]
#[case::blank_lines("", "\r\n")]
#[case::header_line("HTTP/1.1 200 X\r\nx-junk: ", "x")]
#[case::header_lines("HTTP/1.1 200 X\r\n", "x-a: b\r\n")]
#[case::unframed_body("HTTP/1.1 200 X\r\n\r\n", "x")]
#[case::counted_body("HTTP/1.1 200 X\r\ncontent-length: 99999999999\r\n\r\n", "x")]
fn cut_off(#[case] start: &'static str, #[case] piece: &'static str) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime starts");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a port");
        let address = listener.local_addr().expect("bound");
        let written = Rc::new(Cell::new(0));
        let counter = Rc::clone(&written);
        let server = spawn_local(async move {
            let (stream, _) = listener.accept().await.expect("the client connects");
            write_endlessly(stream, start, piece, &counter).await;
        });

        let error = call(&format!("http://{address}/")).await.expect_err("no response");

        server.await.expect("the connection was closed");
        let bytes = written.get();
        assert!(bytes <= RESPONSE_MAX_BYTES + SOCKETS_MAX_BYTES, "{bytes} bytes: {error}");
        assert!(error.sent);
    });
}

/// Calls a server with a time limit that a call which is cut off never reaches.
async fn call(url: &str) -> Result<(), CallError> {
    let request = HttpRequest::new(Step::Call, Method::GET, url.to_owned())
        .with_response_max(RESPONSE_MAX_BYTES);
    HttpClient::new(Duration::from_secs(600)).send(request).await.map(drop)
}

/// Reads a request and writes until the client closes the connection.
async fn write_endlessly(mut stream: TcpStream, start: &str, piece: &str, written: &Cell<usize>) {
    let mut request = [0; 1024];
    let length = stream.read(&mut request).await.expect("a request arrives");
    assert!(length > 0, "the client closed the connection");
    let block = piece.repeat(16 * 1024 / piece.len());
    let mut is_open = stream.write_all(start.as_bytes()).await.is_ok();
    while is_open && written.get() < ENDLESS_MAX_BYTES {
        is_open = stream.write_all(block.as_bytes()).await.is_ok();
        written.set(written.get() + block.len());
        tokio::task::yield_now().await;
    }
}
