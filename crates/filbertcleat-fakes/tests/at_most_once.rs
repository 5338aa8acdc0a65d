//! Non-idempotent requests run at most once.

use std::time::Duration;

use filbertcleat_fakes::LoopbackConfig;
use filbertcleat_fakes::LoopbackError;
use filbertcleat_fakes::LoopbackSystem;
use filbertcleat_fakes::TestCaller;

/// Marks all requests of a caller as non-idempotent, with an idempotency key.
fn non_idempotent(caller: TestCaller, key: &str) -> TestCaller {
    caller.with_header("x-non-idempotent", "true").with_header("idempotency-key", key)
}

#[tokio::test]
async fn lost_claim_responses() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(LoopbackConfig::default()).await?;
    for number in 0..10 {
        system.platform.faults().lose_write_responses(1);
        let key = format!("order-{number}");
        let reply = non_idempotent(system.caller(0), &key).complete("school-0", &key, 6).await?;
        assert!(reply.is_complete, "{reply:?}");
    }

    for (prompt, runs) in system.recorder.run_counts() {
        assert_eq!(runs, 1, "{prompt}");
    }
    Ok(())
}

#[tokio::test]
async fn concurrent_duplicates() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(LoopbackConfig::default()).await?;
    let mut requests = Vec::new();
    for number in 0..8 {
        let caller = non_idempotent(system.caller(number % 2), "slot-9");
        requests.push(tokio::spawn(async move { caller.complete("school-0", "slot 9", 30).await }));
    }

    let mut completed = 0;
    for task in requests {
        let reply = task.await??;
        completed += usize::from(reply.is_complete);
        // A duplicate gets status 409 while the first request runs, and the stored answer later.
        assert!(reply.is_complete || reply.status == 409, "{reply:?}");
    }
    assert!(completed >= 1);
    assert_eq!(system.recorder.run_counts()["slot 9"], 1);
    Ok(())
}

#[tokio::test]
async fn table_service_unavailable() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(LoopbackConfig::default()).await?;
    system.platform.faults().set_unavailable(true);

    let rejected =
        non_idempotent(system.caller(0), "slot-1").complete("school-0", "slot 1", 6).await?;
    let idempotent = system.caller(0).complete("school-0", "goes on", 6).await?;

    assert_eq!(rejected.status, 503);
    assert_eq!(rejected.error.unwrap_or_default()["run"], "no");
    assert!(!system.recorder.run_counts().contains_key("slot 1"));
    assert!(idempotent.is_complete, "idempotent requests are still served: {idempotent:?}");

    system.platform.faults().set_unavailable(false);
    let resent =
        non_idempotent(system.caller(1), "slot-1").complete("school-0", "slot 1", 6).await?;
    assert!(
        resent.is_complete,
        "a rejected request that has not run can be sent again: {resent:?}"
    );
    assert_eq!(system.recorder.run_counts()["slot 1"], 1);
    Ok(())
}

#[tokio::test]
async fn agent_killed_mid_request() -> Result<(), LoopbackError> {
    let mut system =
        LoopbackSystem::start(LoopbackConfig { engines: 1, ..LoopbackConfig::default() }).await?;
    let caller = non_idempotent(system.caller(0), "slot-2");
    let request = tokio::spawn(async move { caller.complete("school-0", "slot 2", 2000).await });
    while !system.recorder.run_counts().contains_key("slot 2") {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    system.replace_agent(0).await?;

    let reply = request.await??;
    assert_eq!(reply.error.unwrap_or_default()["run"], "unknown");
    let duplicate =
        non_idempotent(system.caller(1), "slot-2").complete("school-0", "slot 2", 2000).await?;
    assert_eq!(duplicate.error.unwrap_or_default()["run"], "unknown");
    assert_eq!(system.recorder.run_counts()["slot 2"], 1);
    Ok(())
}

#[tokio::test]
async fn entry_killed_mid_request() -> Result<(), LoopbackError> {
    let mut system = LoopbackSystem::start(LoopbackConfig::default()).await?;
    let caller = non_idempotent(system.caller(1), "slot-3");
    let request = tokio::spawn(async move { caller.complete("school-0", "slot 3", 2000).await });
    while !system.recorder.run_counts().contains_key("slot 3") {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    system.replace_entry(1).await?;

    assert!(!matches!(request.await?, Ok(reply) if reply.is_complete));
    let duplicate =
        non_idempotent(system.caller(0), "slot-3").complete("school-0", "slot 3", 2000).await?;
    assert_eq!(duplicate.error.unwrap_or_default()["run"], "unknown");
    assert_eq!(system.recorder.run_counts()["slot 3"], 1);
    Ok(())
}
