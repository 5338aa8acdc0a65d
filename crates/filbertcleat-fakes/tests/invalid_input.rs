//! Invalid, incomplete and oversized requests from callers.

use std::io::ErrorKind;
use std::time::Duration;

use filbertcleat_fakes::LoopbackConfig;
use filbertcleat_fakes::LoopbackError;
use filbertcleat_fakes::LoopbackSystem;
use http::Method;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

fn small_config() -> LoopbackConfig {
    LoopbackConfig { engines: 1, entries: 1, has_plain_service: false, ..LoopbackConfig::default() }
}

/// Checks that the entry still serves requests.
async fn check_still_serving(system: &LoopbackSystem) -> Result<(), LoopbackError> {
    let reply = system.caller(0).complete("school-0", "serves on", 4).await?;
    assert!(reply.is_complete, "{reply:?}");
    Ok(())
}

#[rstest]
#[case(json!({ "prompt": "no model" }), 400)]
#[case(json!({ "model": 7, "prompt": "wrong type" }), 400)]
#[case(json!({ "model": "nobody", "prompt": "unknown adapter" }), 404)]
#[case(json!({ "model": "school-0@99", "prompt": "unknown version" }), 404)]
#[case(json!({ "model": "school-0", "prompt": "x".repeat(2_000_000) }), 413)]
#[tokio::test]
async fn rejects_bodies(#[case] body: Value, #[case] status: u16) -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(small_config()).await?;

    let response = system.caller(0).send(Method::POST, "/v1/completions", &body).await?;

    assert_eq!(response.status.as_u16(), status);
    let error: Value = serde_json::from_slice(&response.body)?;
    assert_eq!(error["error"]["run"], "no");
    assert!(system.recorder.run_counts().is_empty());
    check_still_serving(&system).await
}

#[rstest]
#[case("x-class", "golden")]
#[case("x-deadline-ms", "soon")]
#[case("x-non-idempotent", "perhaps")]
#[case("idempotency-key", "a key with spaces")]
#[tokio::test]
async fn rejects_headers(#[case] name: &str, #[case] value: &str) -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(small_config()).await?;

    let reply = system.caller(0).with_header(name, value).complete("school-0", "header", 4).await?;

    assert_eq!(reply.status, 400);
    assert!(reply.error.unwrap_or_default()["message"].as_str().unwrap_or_default().contains(name));
    Ok(())
}

#[rstest]
#[case("{\"model\": \"school-0\", \"prompt\"")]
#[case("not json at all")]
#[tokio::test]
async fn rejects_malformed_json(#[case] body: &str) -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(small_config()).await?;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );

    let response = send_raw(&system, &format!("{head}{body}")).await?;

    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    check_still_serving(&system).await
}

#[tokio::test]
async fn disconnect_mid_body() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(small_config()).await?;
    let address = system.entries[0].caller_address.ok_or("entry has no caller address")?;
    let mut stream = TcpStream::connect(address).await?;
    stream
        .write_all(b"POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 500\r\n\r\n{\"mod")
        .await?;

    drop(stream);

    check_still_serving(&system).await?;
    assert_eq!(system.recorder.run_counts().len(), 1);
    Ok(())
}

#[rstest]
#[case("POST /v1/completions HTTP/1.1\r\nhost: x\r\nx-slow: ")]
#[case("POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 500\r\n\r\n{\"mod")]
#[tokio::test]
async fn times_out_slow_sender(#[case] partial_request: &str) -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(small_config()).await?;

    // The rest of the request is never sent, so the entry has to time out.
    let response = send_raw(&system, partial_request).await?;

    assert!(response.is_empty() || response.starts_with("HTTP/1.1 408"), "{response}");
    check_still_serving(&system).await
}

#[tokio::test]
async fn rejects_oversized_header() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(small_config()).await?;
    let head =
        format!("GET /v1/models HTTP/1.1\r\nhost: x\r\nx-long: {}\r\n\r\n", "y".repeat(40_000));

    let response = send_raw(&system, &head).await?;

    assert!(response.starts_with("HTTP/1.1 431") || response.is_empty(), "{response}");
    check_still_serving(&system).await
}

#[tokio::test]
async fn caller_disconnects_mid_stream() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(small_config()).await?;
    let caller = system.caller(0);
    let request =
        tokio::spawn(async move { caller.stream("school-0", "left early", 100_000).await });
    while !system.recorder.run_counts().contains_key("left early") {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    request.abort();

    // The abandoned call must release its capacity in the batch, so that four other requests are
    // served and the agent finally reports no running call.
    for number in 0..4 {
        let reply = system.caller(0).complete("school-0", &format!("next {number}"), 4).await?;
        assert!(reply.is_complete);
    }
    loop {
        let status = system.status().await?;
        let agent =
            status.iter().find(|status| status["role"] == "agent").cloned().unwrap_or_default();
        if agent["replica"]["running"] == 0 {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends `request` as raw bytes and returns the bytes of the first read.
///
/// Returns an empty string if the entry closes or resets the connection without a response.
async fn send_raw(system: &LoopbackSystem, request: &str) -> Result<String, LoopbackError> {
    let address = system.entries[0].caller_address.ok_or("entry has no caller address")?;
    let mut stream = TcpStream::connect(address).await?;
    if let Err(error) = stream.write_all(request.as_bytes()).await
        && error.kind() != ErrorKind::ConnectionReset
        && error.kind() != ErrorKind::BrokenPipe
    {
        return Err(error.into());
    }
    let mut response = vec![0; 4096];
    let length = match stream.read(&mut response).await {
        Ok(length) => length,
        Err(error) if error.kind() == ErrorKind::ConnectionReset => 0,
        Err(error) => return Err(error.into()),
    };
    Ok(String::from_utf8_lossy(&response[..length]).into_owned())
}
