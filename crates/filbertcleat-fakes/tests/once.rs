//! Non-idempotent requests run at most once.

use std::time::Duration;

use filbertcleat_fakes::LoopbackConfig;
use filbertcleat_fakes::LoopbackError;
use filbertcleat_fakes::LoopbackSystem;
use filbertcleat_fakes::TestCaller;

fn marked(caller: TestCaller, key: &str) -> TestCaller {
    caller.with_header("x-non-idempotent", "true").with_header("idempotency-key", key)
}

#[tokio::test]
async fn lost_claim_answers() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(LoopbackConfig::default()).await?;
    for number in 0..10 {
        system.platform.faults().lose_write_responses(1);
        let key = format!("order-{number}");
        let reply = marked(system.caller(0), &key).complete("school-0", &key, 6).await?;
        assert!(reply.is_complete, "{reply:?}");
    }

    for (prompt, runs) in system.recorder.run_counts() {
        assert_eq!(runs, 1, "{prompt}");
    }
    Ok(())
}

#[tokio::test]
async fn racing_repeats() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(LoopbackConfig::default()).await?;
    let mut asked = Vec::new();
    for number in 0..8 {
        let caller = marked(system.caller(number % 2), "slot-9");
        asked.push(tokio::spawn(async move { caller.complete("school-0", "slot 9", 30).await }));
    }

    let mut whole = 0;
    for task in asked {
        let reply = task.await??;
        whole += usize::from(reply.is_complete);
        // A repeat is told that the first call runs, or gets its kept answer.
        assert!(reply.is_complete || reply.status == 409, "{reply:?}");
    }
    assert!(whole >= 1);
    assert_eq!(system.recorder.run_counts()["slot 9"], 1);
    Ok(())
}

#[tokio::test]
async fn table_service_down() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(LoopbackConfig::default()).await?;
    system.platform.faults().set_unavailable(true);

    let refused = marked(system.caller(0), "slot-1").complete("school-0", "slot 1", 6).await?;
    let plain = system.caller(0).complete("school-0", "goes on", 6).await?;

    assert_eq!(refused.status, 503);
    assert_eq!(refused.error.unwrap_or_default()["run"], "no");
    assert!(!system.recorder.run_counts().contains_key("slot 1"));
    assert!(plain.is_complete, "idempotent work goes on: {plain:?}");

    system.platform.faults().set_unavailable(false);
    let again = marked(system.caller(1), "slot-1").complete("school-0", "slot 1", 6).await?;
    assert!(again.is_complete, "a request refused as not run can be sent again: {again:?}");
    assert_eq!(system.recorder.run_counts()["slot 1"], 1);
    Ok(())
}

#[tokio::test]
async fn agent_dies_midway() -> Result<(), LoopbackError> {
    let mut system =
        LoopbackSystem::start(LoopbackConfig { engines: 1, ..LoopbackConfig::default() }).await?;
    let caller = marked(system.caller(0), "slot-2");
    let asked = tokio::spawn(async move { caller.complete("school-0", "slot 2", 2000).await });
    while !system.recorder.run_counts().contains_key("slot 2") {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    system.replace_agent(0).await?;

    let reply = asked.await??;
    assert_eq!(reply.error.unwrap_or_default()["run"], "unknown");
    let repeat = marked(system.caller(1), "slot-2").complete("school-0", "slot 2", 2000).await?;
    assert_eq!(repeat.error.unwrap_or_default()["run"], "unknown");
    assert_eq!(system.recorder.run_counts()["slot 2"], 1);
    Ok(())
}

#[tokio::test]
async fn entry_dies_midway() -> Result<(), LoopbackError> {
    let mut system = LoopbackSystem::start(LoopbackConfig::default()).await?;
    let caller = marked(system.caller(1), "slot-3");
    let asked = tokio::spawn(async move { caller.complete("school-0", "slot 3", 2000).await });
    while !system.recorder.run_counts().contains_key("slot 3") {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    system.replace_entry(1).await?;

    assert!(!matches!(asked.await?, Ok(reply) if reply.is_complete));
    let repeat = marked(system.caller(0), "slot-3").complete("school-0", "slot 3", 2000).await?;
    assert_eq!(repeat.error.unwrap_or_default()["run"], "unknown");
    assert_eq!(system.recorder.run_counts()["slot 3"], 1);
    Ok(())
}
