//! Graceful shutdown of agents and entries.

use std::time::Duration;

use filbertcleat_fakes::LoopbackConfig;
use filbertcleat_fakes::LoopbackError;
use filbertcleat_fakes::LoopbackSystem;
use filbertcleat_fakes::Observation;
use filbertcleat_fakes::Reply;
use filbertcleat_fakes::answer_text;
use http::Method;
use serde_json::Value;
use tokio::task::JoinHandle;

/// A running request, with its prompt and reply.
type PendingRequest = JoinHandle<(String, Reply)>;

fn send_request(system: &LoopbackSystem, entry: usize, number: usize) -> PendingRequest {
    let caller = system.caller(entry);
    tokio::spawn(async move {
        let prompt = format!("request {number}");
        let adapter = format!("school-{}", number % 6);
        let reply = caller.stream(&adapter, &prompt, 60).await.expect("the entry responds");
        (prompt, reply)
    })
}

/// Checks that all requests, numbered from 0, got the complete answer of the right adapter.
async fn check_replies(requests: Vec<PendingRequest>) -> Result<(), LoopbackError> {
    for (number, task) in requests.into_iter().enumerate() {
        let (prompt, reply) = task.await?;
        let adapter = format!("school-{}@1", number % 6).parse()?;
        assert!(reply.is_complete, "{prompt}: {reply:?}");
        assert_eq!(reply.text, answer_text(&adapter, &prompt, 60));
    }
    Ok(())
}

#[tokio::test]
async fn drains_agent_under_load() -> Result<(), LoopbackError> {
    let mut system =
        LoopbackSystem::start(LoopbackConfig { engines: 3, ..LoopbackConfig::default() }).await?;
    let mut requests: Vec<_> =
        (0..60).map(|number| send_request(&system, number % 2, number)).collect();
    tokio::time::sleep(Duration::from_millis(100)).await;

    let response =
        system.operator(0).send(Method::POST, "/operator/drain/agent-1", &Value::Null).await?;
    assert!(response.status.is_success());
    tokio::time::sleep(Duration::from_secs(3)).await;
    let calls_before = calls_started_on(&system, "engine-1");
    requests.extend((60..120).map(|number| send_request(&system, number % 2, number)));

    check_replies(requests).await?;
    assert_eq!(
        calls_started_on(&system, "engine-1"),
        calls_before,
        "a draining agent gets no new calls"
    );
    system.agents[1].join();
    assert_eq!(system.recorder.evictions_while_serving(), 0);
    Ok(())
}

#[tokio::test]
async fn drains_entry_under_load() -> Result<(), LoopbackError> {
    let mut system = LoopbackSystem::start(LoopbackConfig::default()).await?;
    let requests: Vec<_> = (0..30).map(|number| send_request(&system, 1, number)).collect();
    tokio::time::sleep(Duration::from_millis(50)).await;

    system.entries[1].shut_down();

    check_replies(requests).await?;
    system.entries[1].join();
    Ok(())
}

#[tokio::test]
async fn rejects_draining_unknown_process() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(LoopbackConfig {
        has_plain_service: false,
        ..LoopbackConfig::default()
    })
    .await?;

    let response =
        system.operator(0).send(Method::POST, "/operator/drain/nobody", &Value::Null).await?;

    assert_eq!(response.status.as_u16(), 404);
    Ok(())
}

/// Returns the number of calls that an engine has started.
fn calls_started_on(system: &LoopbackSystem, name: &str) -> usize {
    let observations = system.recorder.observations();
    observations
        .iter()
        .filter(|seen| matches!(seen, Observation::CallStarted { engine, .. } if engine == name))
        .count()
}
