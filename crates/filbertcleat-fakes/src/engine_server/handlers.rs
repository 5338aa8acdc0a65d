//! The calls that a fake engine answers.

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
use super::state::Piece;
use crate::EngineCall;
use crate::answer::answer_token_count;

/// How long a hanging load takes.
const HANG: Duration = Duration::from_secs(4);

#[handler]
pub(super) async fn complete(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let engine = engine(depot);
    if !engine.admits(fence(request)) {
        return refuse(response, StatusCode::CONFLICT, "old fencing number");
    }
    let chat = request.uri().path() == paths::ENGINE_CHAT;
    let id = header(request, paths::CALL_ID_HEADER).unwrap_or_default();
    let body = json_body(request).await;
    let Some(adapter) = adapter(&body, "model") else {
        return refuse(response, StatusCode::BAD_REQUEST, "model is no adapter version");
    };

    let pieces = match body["resume_of"].as_str() {
        Some(of) => engine.resume(of, &id, body["resume_offset"].as_u64().unwrap_or(0) as usize),
        None => engine.start_call(model_call(id, adapter, &body)),
    };
    let Some(pieces) = pieces else {
        return refuse(response, StatusCode::NOT_FOUND, "adapter or call is not here");
    };

    let events = stream::unfold((pieces, false), move |(mut pieces, ended)| async move {
        if ended {
            return None;
        }
        match pieces.recv().await {
            Some(piece) => {
                let last = piece.last;
                Some((Ok::<_, Infallible>(event(chat, &piece)), (pieces, last)))
            }
            // A stream that broke off ends without its terminator.
            None => None,
        }
    });
    if let Ok(value) = "text/event-stream".parse() {
        response.headers_mut().insert("content-type", value);
    }
    response.stream(events);
}

#[handler]
pub(super) async fn load(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let engine = engine(depot);
    if !engine.admits(fence(request)) {
        return refuse(response, StatusCode::CONFLICT, "old fencing number");
    }
    let body = json_body(request).await;
    let Some(adapter) = adapter(&body, "lora_name") else {
        return refuse(response, StatusCode::BAD_REQUEST, "lora_name is no adapter version");
    };
    if engine.faults.take_failing_load() {
        return refuse(response, StatusCode::BAD_GATEWAY, "weights can't be read");
    }
    if engine.faults.take_hanging_load() {
        tokio::time::sleep(HANG).await;
    }
    // A load that was ordered is carried out, whether or not anybody waits for it.
    let loading = tokio::spawn(async move { engine.load(&adapter).await });
    match loading.await {
        Ok(true) => {}
        Ok(false) | Err(_) => refuse(response, StatusCode::CONFLICT, "no slot is free"),
    }
}

#[handler]
pub(super) async fn unload(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let engine = engine(depot);
    if !engine.admits(fence(request)) {
        return refuse(response, StatusCode::CONFLICT, "old fencing number");
    }
    let body = json_body(request).await;
    match adapter(&body, "lora_name") {
        Some(adapter) => engine.unload(&adapter),
        None => refuse(response, StatusCode::BAD_REQUEST, "lora_name is no adapter version"),
    }
}

#[handler]
pub(super) async fn adapters(depot: &mut Depot, response: &mut Response) {
    response.render(salvo::writing::Json(engine(depot).listing()));
}

#[handler]
pub(super) async fn cancel(request: &mut Request, depot: &mut Depot) {
    let body = json_body(request).await;
    engine(depot).cancel(body["id"].as_str().unwrap_or_default());
}

#[handler]
pub(super) async fn load_report(depot: &mut Depot, response: &mut Response) {
    let engine = engine(depot);
    if engine.faults.is_unavailable() {
        return refuse(response, StatusCode::SERVICE_UNAVAILABLE, "engine is down");
    }
    response.render(salvo::writing::Json(engine.report()));
}

#[handler]
pub(super) async fn cache_events(response: &mut Response) {
    response.render(salvo::writing::Json(Vec::<CacheEvent>::new()));
}

/// Obeys an order that a stand-in has nothing to do for.
#[handler]
pub(super) async fn obey(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    if !engine(depot).admits(fence(request)) {
        refuse(response, StatusCode::CONFLICT, "old fencing number");
    }
}

fn model_call(id: String, adapter: AdapterRef, body: &Value) -> EngineCall {
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

fn event(chat: bool, piece: &Piece) -> String {
    let finish_reason = piece.last.then_some("stop");
    let choice = if chat {
        json!({ "index": 0, "delta": { "content": piece.text }, "finish_reason": finish_reason })
    } else {
        json!({ "index": 0, "text": piece.text, "finish_reason": finish_reason })
    };
    let end = if piece.last { "data: [DONE]\n\n" } else { "" };
    format!("data: {}\n\n{end}", json!({ "choices": [choice] }))
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

fn refuse(response: &mut Response, status: StatusCode, message: &str) {
    response.status_code(status);
    response.render(salvo::writing::Json(json!({ "error": message })));
}
