//! Entries and agents that are killed, frozen or replaced while requests run.

use std::time::Duration;

use filbertcleat_fakes::LoopbackConfig;
use filbertcleat_fakes::LoopbackError;
use filbertcleat_fakes::LoopbackSystem;
use filbertcleat_fakes::answer_text;
use serde_json::json;

#[tokio::test]
async fn kills_agent() -> Result<(), LoopbackError> {
    let mut system =
        LoopbackSystem::start(LoopbackConfig { engines: 3, ..LoopbackConfig::default() }).await?;
    let mut requests = Vec::new();
    for number in 0..40 {
        let caller = system.caller(number % 2);
        requests.push(tokio::spawn(async move {
            let prompt = format!("killed {number}");
            (prompt.clone(), caller.stream(&format!("school-{}", number % 6), &prompt, 80).await)
        }));
    }
    tokio::time::sleep(Duration::from_millis(200)).await;

    system.agents[0].kill();

    for (number, task) in requests.into_iter().enumerate() {
        let (prompt, reply) = task.await?;
        let reply = reply?;
        assert!(reply.is_complete, "{prompt}: {reply:?}");
        let adapter = format!("school-{}@1", number % 6).parse()?;
        assert_eq!(reply.text, answer_text(&adapter, &prompt, 80));
    }
    assert_eq!(system.recorder.evictions_while_serving(), 0);
    Ok(())
}

#[tokio::test]
async fn freezes_agent() -> Result<(), LoopbackError> {
    let system =
        LoopbackSystem::start(LoopbackConfig { engines: 2, ..LoopbackConfig::default() }).await?;
    let mut requests = Vec::new();
    for number in 0..20 {
        let caller = system.caller(number % 2);
        requests.push(tokio::spawn(async move {
            let prompt = format!("frozen {number}");
            (prompt.clone(), caller.complete(&format!("school-{}", number % 6), &prompt, 30).await)
        }));
    }
    tokio::time::sleep(Duration::from_millis(50)).await;

    system.agents[0].freeze(Duration::from_secs(4));

    for (number, task) in requests.into_iter().enumerate() {
        let (prompt, reply) = task.await?;
        let adapter = format!("school-{}@1", number % 6).parse()?;
        assert_eq!(reply?.text, answer_text(&adapter, &prompt, 30), "{prompt}");
    }
    assert_eq!(system.recorder.evictions_while_serving(), 0);
    Ok(())
}

#[tokio::test]
async fn replaces_all_daemons() -> Result<(), LoopbackError> {
    let mut system = LoopbackSystem::start(LoopbackConfig::default()).await?;
    system
        .apply_patch(1, &json!([{ "op": "add-version", "adapter": "school-0", "version": 2 }]))
        .await?;
    for entry in 0..system.entries.len() {
        system.replace_entry(entry).await?;
    }
    for agent in 0..system.agents.len() {
        system.replace_agent(agent).await?;
    }

    system.wait_until_live(5, 2).await?;
    let reply = system.caller(0).complete("school-0@2", "after all were replaced", 8).await?;

    assert_eq!(reply.text, answer_text(&"school-0@2".parse()?, "after all were replaced", 8));
    Ok(())
}

#[tokio::test]
async fn replaces_entry_during_outage() -> Result<(), LoopbackError> {
    let mut system = LoopbackSystem::start(LoopbackConfig::default()).await?;
    system
        .apply_patch(1, &json!([{ "op": "add-version", "adapter": "school-0", "version": 2 }]))
        .await?;
    system.wait_until_live(5, 2).await?;
    system.platform.faults().set_unavailable(true);

    system.replace_entry(1).await?;

    system.wait_until_live(5, 2).await?;
    let reply = system.caller(1).complete("school-0@2", "in an outage", 8).await?;
    assert_eq!(reply.text, answer_text(&"school-0@2".parse()?, "in an outage", 8));
    Ok(())
}

/// Guards against evicting an adapter that still serves a call of the previous agent: the engine
/// continues that call, which the new agent of the engine has not started itself.
#[tokio::test]
async fn orphaned_call_blocks_eviction() -> Result<(), LoopbackError> {
    let config = LoopbackConfig {
        engines: 1,
        entries: 1,
        has_plain_service: false,
        ..LoopbackConfig::default()
    };
    let mut system = LoopbackSystem::start(config).await?;
    let caller = system.caller(0).with_header("x-non-idempotent", "true");
    let orphaned = tokio::spawn(async move { caller.complete("school-0", "former", 1500).await });
    while !system.recorder.run_counts().contains_key("former") {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    system.replace_agent(0).await?;
    system.wait_until_live(2, 1).await?;
    let mut others = Vec::new();
    for number in 1..6 {
        let caller = system.caller(0);
        let adapter = format!("school-{number}");
        others.push(tokio::spawn(async move { caller.complete(&adapter, "later", 8).await }));
    }
    for other in others {
        assert!(other.await??.is_complete);
    }

    assert!(!orphaned.await??.is_complete);
    assert_eq!(system.recorder.evictions_while_serving(), 0);
    Ok(())
}
