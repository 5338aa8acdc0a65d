//! Loads that fail, hang or end late.

use filbertcleat_config::Limits;
use filbertcleat_fakes::LoopbackConfig;
use filbertcleat_fakes::LoopbackError;
use filbertcleat_fakes::LoopbackSystem;
use filbertcleat_fakes::answer_text;

fn one_engine() -> LoopbackConfig {
    LoopbackConfig { engines: 1, entries: 1, has_plain_service: false, ..LoopbackConfig::default() }
}

#[tokio::test]
async fn failed_load() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(one_engine()).await?;
    system.engines[0].faults().fail_loads(1);

    let reply = system.caller(0).complete("school-0", "after a failure", 8).await?;

    assert_eq!(reply.text, answer_text(&"school-0@1".parse()?, "after a failure", 8));
    Ok(())
}

#[tokio::test]
async fn hanging_load() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(one_engine()).await?;
    system.engines[0].faults().hang_loads(1);

    // The load ends late and takes a slot that the agent gave to others meanwhile.
    let mut asked = Vec::new();
    for number in 0..6 {
        let caller = system.caller(0);
        asked.push(tokio::spawn(async move {
            let adapter = format!("school-{number}");
            (adapter.clone(), caller.complete(&adapter, "late load", 8).await)
        }));
    }

    for task in asked {
        let (adapter, reply) = task.await?;
        let adapter = format!("{adapter}@1").parse()?;
        assert_eq!(reply?.text, answer_text(&adapter, "late load", 8));
    }
    assert_eq!(system.recorder.evictions_while_serving(), 0);
    Ok(())
}

#[tokio::test]
async fn lasting_failure() -> Result<(), LoopbackError> {
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

    // One layer repeats calls, within the request's own budget, and each agent gives a load up
    // after three failures: the composed counts are sums, not products.
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
