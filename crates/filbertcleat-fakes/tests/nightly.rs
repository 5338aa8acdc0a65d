//! Accepted work that is answered later.

use std::time::Duration;

use filbertcleat_fakes::LoopbackConfig;
use filbertcleat_fakes::LoopbackError;
use filbertcleat_fakes::LoopbackSystem;
use filbertcleat_fakes::answer_text;
use http::Method;
use serde_json::Value;
use serde_json::json;

async fn accept(
    system: &LoopbackSystem,
    entry: usize,
    adapter: &str,
    prompt: &str,
) -> Result<String, LoopbackError> {
    let caller = system.caller(entry).with_header("prefer", "respond-async");
    let body = json!({ "model": adapter, "prompt": prompt, "max_tokens": 6 });
    let answer = caller.send(Method::POST, "/v1/completions", &body).await?;
    assert_eq!(answer.status.as_u16(), 202, "{answer:?}");
    let address = answer.headers.get("location").ok_or("no address")?;
    Ok(address.to_str()?.to_owned())
}

async fn fetch(system: &LoopbackSystem, address: &str) -> Result<Value, LoopbackError> {
    loop {
        let answer = system.caller(0).send(Method::GET, address, &Value::Null).await?;
        let body: Value = serde_json::from_slice(&answer.body)?;
        if answer.status.as_u16() == 200 {
            return Ok(body);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn all_replaced_twice() -> Result<(), LoopbackError> {
    let mut system = LoopbackSystem::start(LoopbackConfig::default()).await?;
    let mut accepted = Vec::new();
    for number in 0..120 {
        let adapter = format!("school-{}", number % 6);
        let prompt = format!("overnight {number}");
        accepted.push((accept(&system, number % 2, &adapter, &prompt).await?, adapter, prompt));
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

    for (address, adapter, prompt) in accepted {
        let body = fetch(&system, &address).await?;
        let right = answer_text(&format!("{adapter}@1").parse()?, &prompt, 6);
        assert_eq!(body["answer"]["choices"][0]["text"], right, "{body}");
    }
    assert_eq!(system.recorder.evictions_while_serving(), 0);
    Ok(())
}

#[tokio::test]
async fn holder_dies_midway() -> Result<(), LoopbackError> {
    let mut system =
        LoopbackSystem::start(LoopbackConfig { entries: 2, ..LoopbackConfig::default() }).await?;
    let caller = system
        .caller(1)
        .with_header("prefer", "respond-async")
        .with_header("x-non-idempotent", "true");
    let body = json!({ "model": "school-0", "prompt": "standing order", "max_tokens": 4000 });
    let answer = caller.send(Method::POST, "/v1/completions", &body).await?;
    let address = answer.headers.get("location").ok_or("no address")?.to_str()?.to_owned();
    while !system.recorder.run_counts().contains_key("standing order") {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    system.replace_entry(0).await?;
    system.replace_entry(1).await?;

    let body = fetch(&system, &address).await?;
    assert_eq!(body["error"]["run"], "unknown", "{body}");
    assert_eq!(system.recorder.run_counts()["standing order"], 1);
    Ok(())
}

#[tokio::test]
async fn store_down() -> Result<(), LoopbackError> {
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
async fn writes_each() -> Result<(), LoopbackError> {
    let system =
        LoopbackSystem::start(LoopbackConfig { entries: 1, ..LoopbackConfig::default() }).await?;
    let before = system.platform.rows("lease/").iter().map(|row| row.revision).max();
    let mut addresses = Vec::new();
    for number in 0..20 {
        addresses.push(accept(&system, 0, "school-1", &format!("counted {number}")).await?);
    }
    for address in &addresses {
        fetch(&system, address).await?;
    }

    assert!(before.is_some());
    // Beside the object, a row is created, taken up and finished: the revision tells its writes.
    let rows = system.platform.rows("work/");
    assert_eq!(rows.len(), addresses.len());
    for row in rows {
        let value: Value = serde_json::from_str(&row.value)?;
        assert_eq!(value["fence"], 1, "taken up once: {value}");
    }
    Ok(())
}
