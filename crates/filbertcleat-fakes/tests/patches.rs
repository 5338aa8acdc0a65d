//! Configuration patches from several operators, with lost responses or invalid contents.

use filbertcleat_fakes::LoopbackConfig;
use filbertcleat_fakes::LoopbackError;
use filbertcleat_fakes::LoopbackSystem;
use http::Method;
use serde_json::Value;
use serde_json::json;

fn small_config() -> LoopbackConfig {
    LoopbackConfig { engines: 1, has_plain_service: false, ..LoopbackConfig::default() }
}

fn patch(base: u64, id: &str, version: u64) -> Value {
    let changes = json!([{ "op": "add-version", "adapter": "school-0", "version": version }]);
    json!({ "base": base, "id": id, "operator": "tester", "changes": changes })
}

#[tokio::test]
async fn concurrent_patches() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(small_config()).await?;
    let mut requests = Vec::new();
    for number in 0..8u64 {
        let operator = system.operator(number as usize % 2);
        let patch = patch(1, &format!("race-{number}"), 100 + number);
        requests.push(tokio::spawn(async move {
            operator.send(Method::POST, "/operator/patch", &patch).await
        }));
    }

    let mut accepted = 0;
    for task in requests {
        let response = task.await??;
        let body: Value = serde_json::from_slice(&response.body)?;
        if response.status.is_success() {
            accepted += 1;
            assert_eq!(body["version"], 2);
        } else {
            assert_eq!(body["error"]["refusal"]["refusal"], "stale", "{body}");
        }
    }
    assert_eq!(accepted, 1);
    assert_eq!(system.platform.rows("config/patch/").len(), 2);
    Ok(())
}

#[tokio::test]
async fn lost_write_responses() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(small_config()).await?;
    for base in 1..5 {
        system.platform.faults().lose_write_responses(1);
        let patch = patch(base, &format!("lost-{base}"), 10 + base);
        let response = system.operator(0).send(Method::POST, "/operator/patch", &patch).await?;
        assert!(response.status.is_success(), "{response:?}");
    }
    system.wait_until_live(3, 5).await?;
    Ok(())
}

#[tokio::test]
async fn rejects_stale_and_invalid_patches() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(small_config()).await?;
    let operator = system.operator(0);
    let send = |body: Value| {
        let operator = operator.clone();
        async move { operator.send(Method::POST, "/operator/patch", &body).await }
    };

    let stale = send(patch(0, "stale", 2)).await?;
    let unknown_adapter = send(json!({
        "base": 1, "id": "unknown", "operator": "tester",
        "changes": [{ "op": "serve", "adapter": "nobody", "version": 1 }],
    }))
    .await?;
    let wrong_type = send(json!({
        "base": 1, "id": "field", "operator": "tester",
        "changes": [{ "op": "add-version", "adapter": "school-0", "version": "two" }],
    }))
    .await?;

    assert_eq!(stale.status.as_u16(), 409);
    assert_eq!(unknown_adapter.status.as_u16(), 400);
    assert!(String::from_utf8_lossy(&unknown_adapter.body).contains("changes[0].adapter"));
    assert_eq!(wrong_type.status.as_u16(), 400);
    assert!(String::from_utf8_lossy(&wrong_type.body).contains("changes[0]"));
    assert_eq!(system.platform.rows("config/patch/").len(), 1);
    Ok(())
}

#[tokio::test]
async fn rejects_wrong_token() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(small_config()).await?;
    let stranger = system.operator(0).with_header("authorization", "Bearer something-else");

    let response = stranger.send(Method::GET, "/operator/status", &Value::Null).await?;

    assert_eq!(response.status.as_u16(), 401);
    Ok(())
}
