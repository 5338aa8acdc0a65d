//! Asynchronous requests, which an entry accepts and answers later.

use std::time::Duration;

use filbertcleat_fakes::LoopbackConfig;
use filbertcleat_fakes::LoopbackError;
use filbertcleat_fakes::LoopbackSystem;
use filbertcleat_fakes::answer_text;
use http::Method;
use serde_json::Value;
use serde_json::json;

/// Submits an asynchronous request and returns the path of its answer.
async fn submit(
    system: &LoopbackSystem,
    entry: usize,
    adapter: &str,
    prompt: &str,
) -> Result<String, LoopbackError> {
    let caller = system.caller(entry).with_header("prefer", "respond-async");
    let body = json!({ "model": adapter, "prompt": prompt, "max_tokens": 6 });
    let response = caller.send(Method::POST, "/v1/completions", &body).await?;
    assert_eq!(response.status.as_u16(), 202, "{response:?}");
    let location = response.headers.get("location").ok_or("no location header")?;
    Ok(location.to_str()?.to_owned())
}

/// Polls until the answer is available and returns it.
async fn poll_answer(system: &LoopbackSystem, location: &str) -> Result<Value, LoopbackError> {
    loop {
        let response = system.caller(0).send(Method::GET, location, &Value::Null).await?;
        let body: Value = serde_json::from_slice(&response.body)?;
        if response.status.as_u16() == 200 {
            return Ok(body);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn survives_replacing_all_daemons_twice() -> Result<(), LoopbackError> {
    let mut system = LoopbackSystem::start(LoopbackConfig::default()).await?;
    let mut submitted = Vec::new();
    for number in 0..120 {
        let adapter = format!("school-{}", number % 6);
        let prompt = format!("overnight {number}");
        submitted.push((submit(&system, number % 2, &adapter, &prompt).await?, adapter, prompt));
    }

    for round in 0..2 {
        system.platform.faults().set_unavailable(round == 0);
        system.platform.faults().lose_write_responses(3);
        for entry in 0..system.entries.len() {
            system.replace_entry(entry).await?;
        }
        system.platform.faults().set_unavailable(false);
        for agent in 0..system.agents.len() {
            system.replace_agent(agent).await?;
        }
    }

    for (location, adapter, prompt) in submitted {
        let body = poll_answer(&system, &location).await?;
        let expected = answer_text(&format!("{adapter}@1").parse()?, &prompt, 6);
        assert_eq!(body["answer"]["choices"][0]["text"], expected, "{body}");
    }
    assert_eq!(system.recorder.evictions_while_serving(), 0);
    Ok(())
}

#[tokio::test]
async fn entry_killed_mid_request() -> Result<(), LoopbackError> {
    let mut system =
        LoopbackSystem::start(LoopbackConfig { entries: 2, ..LoopbackConfig::default() }).await?;
    let caller = system
        .caller(1)
        .with_header("prefer", "respond-async")
        .with_header("x-non-idempotent", "true");
    let body = json!({ "model": "school-0", "prompt": "standing order", "max_tokens": 4000 });
    let response = caller.send(Method::POST, "/v1/completions", &body).await?;
    let location =
        response.headers.get("location").ok_or("no location header")?.to_str()?.to_owned();
    while !system.recorder.run_counts().contains_key("standing order") {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    system.replace_entry(0).await?;
    system.replace_entry(1).await?;

    let body = poll_answer(&system, &location).await?;
    assert_eq!(body["error"]["run"], "unknown", "{body}");
    assert_eq!(system.recorder.run_counts()["standing order"], 1);
    Ok(())
}

#[tokio::test]
async fn rejects_while_store_unavailable() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(LoopbackConfig {
        has_plain_service: false,
        ..LoopbackConfig::default()
    })
    .await?;
    system.platform.faults().set_unavailable(true);

    let caller = system.caller(0).with_header("prefer", "respond-async");
    let reply = caller.complete("school-0", "not kept", 4).await?;

    assert_eq!(reply.status, 503);
    assert_eq!(reply.error.unwrap_or_default()["run"], "no");
    Ok(())
}

#[tokio::test]
async fn claims_each_request_once() -> Result<(), LoopbackError> {
    let system =
        LoopbackSystem::start(LoopbackConfig { entries: 1, ..LoopbackConfig::default() }).await?;
    let lease_revision = system.platform.rows("lease/").iter().map(|row| row.revision).max();
    let mut locations = Vec::new();
    for number in 0..20 {
        locations.push(submit(&system, 0, "school-1", &format!("counted {number}")).await?);
    }
    for location in &locations {
        poll_answer(&system, location).await?;
    }

    assert!(lease_revision.is_some());
    // Each request has one row, whose fencing token is incremented each time an entry claims the
    // request.
    let rows = system.platform.rows("work/");
    assert_eq!(rows.len(), locations.len());
    for row in rows {
        let value: Value = serde_json::from_str(&row.value)?;
        assert_eq!(value["fence"], 1, "claimed once: {value}");
    }
    Ok(())
}
