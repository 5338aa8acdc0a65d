//! Answers are complete and come from the requested adapter version.

use std::time::Duration;

use filbertcleat_fakes::LoopbackConfig;
use filbertcleat_fakes::LoopbackError;
use filbertcleat_fakes::LoopbackSystem;
use filbertcleat_fakes::Observation;
use filbertcleat_fakes::answer_text;
use serde_json::json;

#[tokio::test]
async fn resumes_broken_stream() -> Result<(), LoopbackError> {
    let system =
        LoopbackSystem::start(LoopbackConfig { engines: 1, ..LoopbackConfig::default() }).await?;
    system.engines[0].faults().break_streams(1);

    let reply = system.caller(0).stream("school-0", "long roster", 40).await?;

    assert_eq!(reply.text, answer_text(&"school-0@1".parse()?, "long roster", 40));
    assert!(reply.is_complete);
    assert_eq!(system.recorder.run_counts()["long roster"], 1);
    Ok(())
}

#[tokio::test]
async fn engine_restart_mid_stream() -> Result<(), LoopbackError> {
    let system =
        LoopbackSystem::start(LoopbackConfig { engines: 1, ..LoopbackConfig::default() }).await?;
    let caller = system.caller(0);
    let request = tokio::spawn(async move { caller.stream("school-1", "cold roster", 400).await });
    while !system.recorder.run_counts().contains_key("cold roster") {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(Duration::from_millis(50)).await;

    system.engines[0].restart();

    let reply = request.await??;
    assert_eq!(reply.text, answer_text(&"school-1@1".parse()?, "cold roster", 400));
    assert!(reply.is_complete, "{reply:?}");
    Ok(())
}

#[tokio::test]
async fn version_pinning_across_patches() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(LoopbackConfig::default()).await?;
    for version in 2..6u64 {
        let changes = json!([
            { "op": "add-version", "adapter": "school-0", "version": version },
            { "op": "serve", "adapter": "school-0", "version": version },
        ]);
        system.apply_patch(version - 1, &changes).await?;
        let prompt = format!("pinned {version}");
        let pinned = system.caller(1).complete("school-0@1", &prompt, 8).await?;
        assert_eq!(pinned.text, answer_text(&"school-0@1".parse()?, &prompt, 8));
    }
    system.wait_until_live(5, 5).await?;
    let latest = system.caller(1).complete("school-0", "latest", 8).await?;

    assert_eq!(latest.text, answer_text(&"school-0@5".parse()?, "latest", 8));
    for observation in system.recorder.observations() {
        if let Observation::CallStarted { adapter, prompt, .. } = observation {
            let expected = if prompt == "latest" { "school-0@5" } else { "school-0@1" };
            assert_eq!(adapter.to_string(), expected, "{prompt}");
        }
    }
    Ok(())
}
