//! Adapter loads that fail, hang or complete late.

use filbertcleat_config::Limits;
use filbertcleat_fakes::LoopbackConfig;
use filbertcleat_fakes::LoopbackError;
use filbertcleat_fakes::LoopbackSystem;
use filbertcleat_fakes::answer_text;

fn one_engine_config() -> LoopbackConfig {
    LoopbackConfig { engines: 1, entries: 1, has_plain_service: false, ..LoopbackConfig::default() }
}

#[tokio::test]
async fn retries_failed_load() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(one_engine_config()).await?;
    system.engines[0].faults().fail_loads(1);

    let reply = system.caller(0).complete("school-0", "after a failure", 8).await?;

    assert_eq!(reply.text, answer_text(&"school-0@1".parse()?, "after a failure", 8));
    Ok(())
}

#[tokio::test]
async fn late_load_completion() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(one_engine_config()).await?;
    system.engines[0].faults().hang_loads(1);

    // The load completes after its timeout, when the agent may already have given the slot to
    // another adapter.
    let mut requests = Vec::new();
    for number in 0..6 {
        let caller = system.caller(0);
        requests.push(tokio::spawn(async move {
            let adapter = format!("school-{number}");
            (adapter.clone(), caller.complete(&adapter, "late load", 8).await)
        }));
    }

    for task in requests {
        let (adapter, reply) = task.await?;
        let adapter = format!("{adapter}@1").parse()?;
        assert_eq!(reply?.text, answer_text(&adapter, "late load", 8));
    }
    assert_eq!(system.recorder.evictions_while_serving(), 0);
    Ok(())
}

#[tokio::test]
async fn bounds_retries_of_failing_loads() -> Result<(), LoopbackError> {
    let system =
        LoopbackSystem::start(LoopbackConfig { entries: 1, ..LoopbackConfig::default() }).await?;
    for engine in &system.engines {
        engine.faults().fail_loads(u32::MAX);
    }

    let reply = system.caller(0).complete("school-0", "never", 8).await?;

    assert_eq!(reply.status, 503);
    let error = reply.error.unwrap_or_default();
    assert_eq!(error["run"], "no");
    assert_eq!(error["step"], "load");
    assert!(error["retry_after_ms"].as_u64() > Some(0));
    assert!(!system.recorder.run_counts().contains_key("never"));

    // Only entries retry attempts, up to the limit per request, and each agent abandons a load
    // after three failures. The counts therefore add up; retries in several layers would multiply.
    let status = system.status().await?;
    let total = |name: &str| {
        let counts = status.iter().filter_map(|process| process["totals"][name].as_u64());
        counts.sum::<u64>()
    };
    let attempts_max = u64::from(Limits::default().attempts_max);
    assert!(total("attempts") <= attempts_max, "{} attempts", total("attempts"));
    assert!(
        total("loads.failed") <= 3 * system.engines.len() as u64,
        "{} loads",
        total("loads.failed")
    );
    assert_eq!(total("calls"), 0);
    Ok(())
}
