//! Responses of the platform's services that arrive slowly.

use std::time::Duration;

use filbertcleat_platform::HttpClient;
use filbertcleat_platform::HttpObjectStore;
use filbertcleat_platform::HttpTable;
use filbertcleat_platform::ObjectStore;
use filbertcleat_platform::Table;
use filbertcleat_platform::VmListClient;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

/// The time limit of the client.
const LIMIT: Duration = Duration::from_secs(1);

/// A response that is read.
#[derive(Clone, Copy, Debug)]
enum Read {
    Object,
    TableRows,
    Vms,
}

impl Read {
    /// Reads from the services at an address, and returns whether that succeeded.
    async fn succeeds(self, url: &str) -> bool {
        let client = HttpClient::new(LIMIT);
        match self {
            Self::Object => HttpObjectStore::new(client, url).read("snapshot").await.is_ok(),
            Self::TableRows => HttpTable::new(client, url).list("rows/", "", 10).await.is_some(),
            Self::Vms => VmListClient::new(client, url).list().await.is_some(),
        }
    }
}

/// Guards against responses that are given up while they arrive, for ever if they have grown too
/// large for their link.
#[rstest]
fn arriving_response_read(#[values(Read::Object, Read::TableRows, Read::Vms)] read: Read) {
    assert!(succeeds(read, Duration::from_millis(400)));
}

/// Guards against waits without end for the rest of a response.
#[rstest]
fn stopped_response_fails(#[values(Read::Object, Read::TableRows, Read::Vms)] read: Read) {
    assert!(!succeeds(read, Duration::from_millis(1_400)));
}

/// Returns whether a response is read of which a byte arrives after each pause.
fn succeeds(read: Read, pause: Duration) -> bool {
    let runtime = Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime starts"), async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a port");
        let address = listener.local_addr().expect("bound");
        spawn_local(async move {
            let (stream, _) = listener.accept().await.expect("the client connects");
            write_slowly(stream, pause).await;
        });
        read.succeeds(&format!("http://{address}")).await
    })
}

async fn write_slowly(mut stream: TcpStream, pause: Duration) {
    // Data that the kernel delays would arrive after the paused time has gone on.
    stream.set_nodelay(true).expect("the connection is open");
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a request"));
    }
    let written = stream.write_all(b"HTTP/1.1 200 X\r\ncontent-length: 12\r\n\r\n").await;
    written.expect("the client reads");
    for byte in b"[          ]" {
        tokio::time::sleep(pause).await;
        if stream.write_all(&[*byte]).await.is_err() {
            return;
        }
    }
}
