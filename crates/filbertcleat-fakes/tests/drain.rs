//! Planned stops.

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

type Asked = JoinHandle<(String, Reply)>;

fn ask(system: &LoopbackSystem, entry: usize, number: usize) -> Asked {
    let caller = system.caller(entry);
    tokio::spawn(async move {
        let prompt = format!("request {number}");
        let adapter = format!("school-{}", number % 6);
        let reply = caller.stream(&adapter, &prompt, 60).await.expect("the entry answers");
        (prompt, reply)
    })
}

async fn check(asked: Vec<Asked>) -> Result<(), LoopbackError> {
    for (number, task) in asked.into_iter().enumerate() {
        let (prompt, reply) = task.await?;
        let adapter = format!("school-{}@1", number % 6).parse()?;
        assert!(reply.is_complete, "{prompt}: {reply:?}");
        assert_eq!(reply.text, answer_text(&adapter, &prompt, 60));
    }
    Ok(())
}

#[tokio::test]
async fn agent_under_load() -> Result<(), LoopbackError> {
    let mut system =
        LoopbackSystem::start(LoopbackConfig { engines: 3, ..LoopbackConfig::default() }).await?;
    let mut asked: Vec<_> = (0..60).map(|number| ask(&system, number % 2, number)).collect();
    tokio::time::sleep(Duration::from_millis(100)).await;

    let answer =
        system.operator(0).send(Method::POST, "/operator/drain/agent-1", &Value::Null).await?;
    assert!(answer.status.is_success());
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = runs_of(&system, "engine-1");
    asked.extend((60..120).map(|number| ask(&system, number % 2, number)));

    check(asked).await?;
    assert_eq!(runs_of(&system, "engine-1"), before, "a leaving server gets no new work");
    system.agents[1].join();
    assert_eq!(system.recorder.evictions_while_serving(), 0);
    Ok(())
}

#[tokio::test]
async fn entry_under_load() -> Result<(), LoopbackError> {
    let mut system = LoopbackSystem::start(LoopbackConfig::default()).await?;
    let asked: Vec<_> = (0..30).map(|number| ask(&system, 1, number)).collect();
    tokio::time::sleep(Duration::from_millis(50)).await;

    system.entries[1].shut_down();

    check(asked).await?;
    system.entries[1].join();
    Ok(())
}

#[tokio::test]
async fn unknown_process() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(LoopbackConfig {
        has_plain_service: false,
        ..LoopbackConfig::default()
    })
    .await?;

    let answer =
        system.operator(0).send(Method::POST, "/operator/drain/nobody", &Value::Null).await?;

    assert_eq!(answer.status.as_u16(), 404);
    Ok(())
}

fn runs_of(system: &LoopbackSystem, name: &str) -> usize {
    let all = system.recorder.observations();
    all.iter()
        .filter(|seen| matches!(seen, Observation::CallStarted { engine, .. } if engine == name))
        .count()
}
