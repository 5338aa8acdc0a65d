//! Bad input from callers.

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

fn small() -> LoopbackConfig {
    LoopbackConfig { engines: 1, entries: 1, has_plain_service: false, ..LoopbackConfig::default() }
}

async fn serves_on(system: &LoopbackSystem) -> Result<(), LoopbackError> {
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
async fn refused_bodies(#[case] body: Value, #[case] status: u16) -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(small()).await?;

    let answer = system.caller(0).send(Method::POST, "/v1/completions", &body).await?;

    assert_eq!(answer.status.as_u16(), status);
    let error: Value = serde_json::from_slice(&answer.body)?;
    assert_eq!(error["error"]["run"], "no");
    assert!(system.recorder.run_counts().is_empty());
    serves_on(&system).await
}

#[rstest]
#[case("x-class", "golden")]
#[case("x-deadline-ms", "soon")]
#[case("x-non-idempotent", "perhaps")]
#[case("idempotency-key", "a key with spaces")]
#[tokio::test]
async fn refused_headers(#[case] name: &str, #[case] value: &str) -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(small()).await?;

    let reply = system.caller(0).with_header(name, value).complete("school-0", "header", 4).await?;

    assert_eq!(reply.status, 400);
    assert!(reply.error.unwrap_or_default()["message"].as_str().unwrap_or_default().contains(name));
    Ok(())
}

#[rstest]
#[case("{\"model\": \"school-0\", \"prompt\"")]
#[case("not json at all")]
#[tokio::test]
async fn malformed_json(#[case] body: &str) -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(small()).await?;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );

    let answer = raw(&system, &format!("{head}{body}")).await?;

    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    serves_on(&system).await
}

#[tokio::test]
async fn half_sent_body() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(small()).await?;
    let address = system.entries[0].caller_address.ok_or("no callers' address")?;
    let mut stream = TcpStream::connect(address).await?;
    stream
        .write_all(b"POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 500\r\n\r\n{\"mod")
        .await?;

    drop(stream);

    serves_on(&system).await?;
    assert_eq!(system.recorder.run_counts().len(), 1);
    Ok(())
}

#[rstest]
#[case("POST /v1/completions HTTP/1.1\r\nhost: x\r\nx-slow: ")]
#[case("POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 500\r\n\r\n{\"mod")]
#[tokio::test]
async fn slow_sender(#[case] beginning: &str) -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(small()).await?;

    // The rest never comes, and the entry ends the wait by itself.
    let answer = raw(&system, beginning).await?;

    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 408"), "{answer}");
    serves_on(&system).await
}

#[tokio::test]
async fn oversize_header() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(small()).await?;
    let head =
        format!("GET /v1/models HTTP/1.1\r\nhost: x\r\nx-long: {}\r\n\r\n", "y".repeat(40_000));

    let answer = raw(&system, &head).await?;

    assert!(answer.starts_with("HTTP/1.1 431") || answer.is_empty(), "{answer}");
    serves_on(&system).await
}

#[tokio::test]
async fn caller_goes_away() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(small()).await?;
    let caller = system.caller(0);
    let asked = tokio::spawn(async move { caller.stream("school-0", "left early", 100_000).await });
    while !system.recorder.run_counts().contains_key("left early") {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    asked.abort();

    // Its place in the batch is free again, so four calls fit beside each other.
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

/// Sends bytes as they are and reads until the entry closes the connection or falls silent.
async fn raw(system: &LoopbackSystem, request: &str) -> Result<String, LoopbackError> {
    let address = system.entries[0].caller_address.ok_or("no callers' address")?;
    let mut stream = TcpStream::connect(address).await?;
    if let Err(error) = stream.write_all(request.as_bytes()).await
        && error.kind() != ErrorKind::ConnectionReset
        && error.kind() != ErrorKind::BrokenPipe
    {
        return Err(error.into());
    }
    let mut answer = vec![0; 4096];
    let length = match stream.read(&mut answer).await {
        Ok(length) => length,
        Err(error) if error.kind() == ErrorKind::ConnectionReset => 0,
        Err(error) => return Err(error.into()),
    };
    Ok(String::from_utf8_lossy(&answer[..length]).into_owned())
}
