//! Operators' patches under races and lost answers.

use filbertcleat_fakes::LoopbackConfig;
use filbertcleat_fakes::LoopbackError;
use filbertcleat_fakes::LoopbackSystem;
use http::Method;
use serde_json::Value;
use serde_json::json;

fn small() -> LoopbackConfig {
    LoopbackConfig { engines: 1, has_plain_service: false, ..LoopbackConfig::default() }
}

fn patch(base: u64, id: &str, version: u64) -> Value {
    let changes = json!([{ "op": "add-version", "adapter": "school-0", "version": version }]);
    json!({ "base": base, "id": id, "operator": "tester", "changes": changes })
}

#[tokio::test]
async fn racing_operators() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(small()).await?;
    let mut asked = Vec::new();
    for number in 0..8u64 {
        let operator = system.operator(number as usize % 2);
        let patch = patch(1, &format!("race-{number}"), 100 + number);
        asked.push(tokio::spawn(async move {
            operator.send(Method::POST, "/operator/patch", &patch).await
        }));
    }

    let mut accepted = 0;
    for task in asked {
        let answer = task.await??;
        let body: Value = serde_json::from_slice(&answer.body)?;
        if answer.status.is_success() {
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
async fn lost_answers() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(small()).await?;
    for base in 1..5 {
        system.platform.faults().lose_write_responses(1);
        let patch = patch(base, &format!("lost-{base}"), 10 + base);
        let answer = system.operator(0).send(Method::POST, "/operator/patch", &patch).await?;
        assert!(answer.status.is_success(), "{answer:?}");
    }
    system.wait_until_live(3, 5).await?;
    Ok(())
}

#[tokio::test]
async fn stale_and_wrong() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(small()).await?;
    let operator = system.operator(0);
    let send = |body: Value| {
        let operator = operator.clone();
        async move { operator.send(Method::POST, "/operator/patch", &body).await }
    };

    let stale = send(patch(0, "stale", 2)).await?;
    let unknown = send(json!({
        "base": 1, "id": "unknown", "operator": "tester",
        "changes": [{ "op": "serve", "adapter": "nobody", "version": 1 }],
    }))
    .await?;
    let field = send(json!({
        "base": 1, "id": "field", "operator": "tester",
        "changes": [{ "op": "add-version", "adapter": "school-0", "version": "two" }],
    }))
    .await?;

    assert_eq!(stale.status.as_u16(), 409);
    assert_eq!(unknown.status.as_u16(), 400);
    assert!(String::from_utf8_lossy(&unknown.body).contains("changes[0].adapter"));
    assert_eq!(field.status.as_u16(), 400);
    assert!(String::from_utf8_lossy(&field.body).contains("changes[0]"));
    assert_eq!(system.platform.rows("config/patch/").len(), 1);
    Ok(())
}

#[tokio::test]
async fn wrong_token() -> Result<(), LoopbackError> {
    let system = LoopbackSystem::start(small()).await?;
    let stranger = system.operator(0).with_header("authorization", "Bearer something-else");

    let answer = stranger.send(Method::GET, "/operator/status", &Value::Null).await?;

    assert_eq!(answer.status.as_u16(), 401);
    Ok(())
}
