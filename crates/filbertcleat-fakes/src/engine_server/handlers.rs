//! The HTTP handlers of a fake engine.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use filbertcleat_base::AdapterRef;
use filbertcleat_platform::CacheEvent;
use filbertcleat_platform::paths;
use futures_util::stream;
use salvo::Depot;
use salvo::Request;
use salvo::Response;
use salvo::handler;
use salvo::http::StatusCode;
use serde_json::Value;
use serde_json::json;

use super::EngineState;
use super::state::StreamToken;
use crate::EngineCall;
use crate::answer::answer_token_count;

/// The extra duration of a hanging load, longer than the load timeout of agents on loopback.
const HANGING_LOAD_DELAY: Duration = Duration::from_secs(4);

#[handler]
pub(super) async fn complete(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let engine = engine(depot);
    if !engine.accepts_fence(fence(request)) {
        return reject(response, StatusCode::CONFLICT, "stale fencing token");
    }
    let is_chat = request.uri().path() == paths::ENGINE_CHAT;
    let id = header(request, paths::CALL_ID_HEADER).unwrap_or_default();
    let body = json_body(request).await;
    let Some(adapter) = adapter(&body, "model") else {
        return reject(response, StatusCode::BAD_REQUEST, "model is no adapter version");
    };

    let tokens = match body["resume_of"].as_str() {
        Some(of) => engine.resume(of, &id, body["resume_offset"].as_u64().unwrap_or(0) as usize),
        None => engine.start_call(engine_call(id, adapter, &body)),
    };
    let Some(tokens) = tokens else {
        return reject(response, StatusCode::NOT_FOUND, "adapter or call is not here");
    };

    let events = stream::unfold((tokens, false), move |(mut tokens, has_ended)| async move {
        if has_ended {
            return None;
        }
        match tokens.recv().await {
            Some(token) => {
                let is_last = token.is_last;
                Some((Ok::<_, Infallible>(completion_event(is_chat, &token)), (tokens, is_last)))
            }
            // A stream that is cut off ends without the `[DONE]` event.
            None => None,
        }
    });
    if let Ok(value) = "text/event-stream".parse() {
        response.headers_mut().insert("content-type", value);
    }
    response.stream(events);
}

#[handler]
pub(super) async fn load_adapter(
    request: &mut Request,
    depot: &mut Depot,
    response: &mut Response,
) {
    let engine = engine(depot);
    if !engine.accepts_fence(fence(request)) {
        return reject(response, StatusCode::CONFLICT, "stale fencing token");
    }
    let body = json_body(request).await;
    let Some(adapter) = adapter(&body, "lora_name") else {
        return reject(response, StatusCode::BAD_REQUEST, "lora_name is no adapter version");
    };
    if engine.faults.take_failing_load() {
        return reject(response, StatusCode::BAD_GATEWAY, "weights can't be read");
    }
    if engine.faults.take_hanging_load() {
        tokio::time::sleep(HANGING_LOAD_DELAY).await;
    }
    // The load runs in its own task, so that it completes even if the client disconnects.
    let load_task = tokio::spawn(async move { engine.load_adapter(&adapter).await });
    match load_task.await {
        Ok(true) => {}
        Ok(false) | Err(_) => reject(response, StatusCode::CONFLICT, "no slot is free"),
    }
}

#[handler]
pub(super) async fn unload_adapter(
    request: &mut Request,
    depot: &mut Depot,
    response: &mut Response,
) {
    let engine = engine(depot);
    if !engine.accepts_fence(fence(request)) {
        return reject(response, StatusCode::CONFLICT, "stale fencing token");
    }
    let body = json_body(request).await;
    match adapter(&body, "lora_name") {
        Some(adapter) => engine.unload_adapter(&adapter),
        None => reject(response, StatusCode::BAD_REQUEST, "lora_name is no adapter version"),
    }
}

#[handler]
pub(super) async fn list_adapters(depot: &mut Depot, response: &mut Response) {
    response.render(salvo::writing::Json(engine(depot).listing()));
}

#[handler]
pub(super) async fn cancel(request: &mut Request, depot: &mut Depot) {
    let body = json_body(request).await;
    engine(depot).cancel(body["id"].as_str().unwrap_or_default());
}

#[handler]
pub(super) async fn stats(depot: &mut Depot, response: &mut Response) {
    let engine = engine(depot);
    if engine.faults.is_unavailable() {
        return reject(response, StatusCode::SERVICE_UNAVAILABLE, "engine is down");
    }
    response.render(salvo::writing::Json(engine.stats()));
}

#[handler]
pub(super) async fn cache_events(response: &mut Response) {
    response.render(salvo::writing::Json(Vec::<CacheEvent>::new()));
}

/// Checks the fencing token of an order that needs no action from a fake engine.
#[handler]
pub(super) async fn accept_order(
    request: &mut Request,
    depot: &mut Depot,
    response: &mut Response,
) {
    if !engine(depot).accepts_fence(fence(request)) {
        reject(response, StatusCode::CONFLICT, "stale fencing token");
    }
}

fn engine_call(id: String, adapter: AdapterRef, body: &Value) -> EngineCall {
    let prompt = match body["prompt"].as_str() {
        Some(prompt) => prompt.to_owned(),
        None => body["messages"].to_string(),
    };
    let max_tokens = body["max_tokens"].as_u64().unwrap_or(16).max(1);
    EngineCall {
        id,
        adapter,
        priority: body["priority"].as_u64().unwrap_or(1) as u8,
        sequence: 0,
        answer_tokens: answer_token_count(&prompt, max_tokens),
        produced_tokens: 0,
        prompt,
    }
}

fn completion_event(is_chat: bool, token: &StreamToken) -> String {
    let finish_reason = token.is_last.then_some("stop");
    let choice = if is_chat {
        json!({ "index": 0, "delta": { "content": token.text }, "finish_reason": finish_reason })
    } else {
        json!({ "index": 0, "text": token.text, "finish_reason": finish_reason })
    };
    let terminator = if token.is_last { "data: [DONE]\n\n" } else { "" };
    format!("data: {}\n\n{terminator}", json!({ "choices": [choice] }))
}

fn engine(depot: &Depot) -> Arc<EngineState> {
    let state = depot.get_typed::<Arc<EngineState>>();
    Arc::clone(state.expect("the router injects the state"))
}

fn fence(request: &Request) -> Option<u64> {
    header(request, paths::FENCE_HEADER)?.parse().ok()
}

fn header(request: &Request, name: &str) -> Option<String> {
    request.headers().get(name)?.to_str().ok().map(str::to_owned)
}

async fn json_body(request: &mut Request) -> Value {
    match request.payload().await {
        Ok(body) => serde_json::from_slice(body).unwrap_or(Value::Null),
        Err(_) => Value::Null,
    }
}

fn adapter(body: &Value, field: &str) -> Option<AdapterRef> {
    body[field].as_str()?.parse().ok()
}

fn reject(response: &mut Response, status: StatusCode, message: &str) {
    response.status_code(status);
    response.render(salvo::writing::Json(json!({ "error": message })));
}
