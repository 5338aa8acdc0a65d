//! Plain services of the product's own mode that are slow but never silent.

use std::time::Duration;

use filbertcleat_fakes::DaemonThread;
use filbertcleat_fakes::LoopbackConfig;
use filbertcleat_fakes::LoopbackError;
use filbertcleat_fakes::LoopbackSystem;
use http::Method;
use rstest::rstest;
use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// The time without any data after which a call counts as failed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
const PARTS: usize = 10;

/// A call counts as failed after a time without data, however long its response takes in all.
#[rstest]
#[case::fast(Duration::ZERO)]
#[case::slow(IDLE_TIMEOUT / 4)]
#[tokio::test]
async fn slow_response_completes(#[case] pause: Duration) -> Result<(), LoopbackError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond_in_parts(stream, pause));
        }
    });
    let config =
        LoopbackConfig { engines: 0, entries: 1, adapters: 0, ..LoopbackConfig::default() };
    let mut system = LoopbackSystem::start(config).await?;
    let mut settings = system.agent_settings(0);
    let backend = settings.backend.as_mut().expect("an agent has a backend server");
    backend.url = format!("http://{address}");
    backend.idle_timeout_ms = IDLE_TIMEOUT;
    system.agents[0].kill();
    system.agents[0] = DaemonThread::start(settings).await?;
    system.wait_until_live(2, 1).await?;

    let caller = system.caller(0);
    let response = caller.send(Method::POST, "/services/ledger/report", &Value::Null).await?;

    let body = String::from_utf8_lossy(&response.body);
    assert_eq!((response.status.as_u16(), body.len()), (200, PARTS), "{body}");
    Ok(())
}

/// Reads a request and sends a response in parts, with a pause before each.
async fn respond_in_parts(mut stream: TcpStream, pause: Duration) -> std::io::Result<()> {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        request.push(stream.read_u8().await?);
    }
    stream
        .write_all(format!("HTTP/1.1 200 X\r\ncontent-length: {PARTS}\r\n\r\n").as_bytes())
        .await?;
    for _ in 0..PARTS {
        tokio::time::sleep(pause).await;
        stream.write_all(b"x").await?;
    }
    Ok(())
}
