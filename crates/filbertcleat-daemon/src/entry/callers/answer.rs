//! HTTP responses to callers.

use std::convert::Infallible;

use filbertcleat_policy::Refusal;
use futures_util::StreamExt;
use futures_util::stream;
use salvo::Response;
use salvo::http::StatusCode;
use serde_json::Value;

use super::request_handle::RequestHandle;
use super::write_json;
use crate::entry::body;
use crate::entry::body::CompletionApi;
use crate::entry::pending_request::CallerEvent;

/// Sends the answer to a request, either whole or as a stream of server-sent events.
///
/// A refusal before the first piece of text sets the response's status; a later one is the last
/// event of the stream. `api` is `None` for a call to a plain service.
pub(super) async fn send_answer(
    mut handle: RequestHandle,
    api: Option<CompletionApi>,
    streamed: bool,
    response: &mut Response,
) {
    let id = handle.request.to_string();
    if let Ok(value) = id.parse() {
        response.headers_mut().insert("x-request-id", value);
    }
    let mut model = String::new();
    let mut text = String::new();
    loop {
        match handle.next().await {
            Some(CallerEvent::Accepted { model: resolved }) => model = resolved,
            Some(CallerEvent::Text(piece)) => match api {
                Some(api) if streamed => {
                    return send_stream(handle, api, &id, model, &piece, response);
                }
                Some(_) | None => text.push_str(&piece),
            },
            Some(CallerEvent::Finished { finish_reason, tokens }) => {
                let api = api.unwrap_or(CompletionApi::Text);
                if streamed {
                    return send_stream_end(api, &id, &model, &finish_reason, response);
                }
                let whole = api.whole_answer(&id, &model, &text, &finish_reason, tokens);
                return write_json(response, StatusCode::OK, &whole);
            }
            Some(CallerEvent::Answer { status, content_type, body }) => {
                return send_service_answer(status, &content_type, body, response);
            }
            Some(CallerEvent::Refused(refusal)) => return send_refusal(&refusal, response),
            Some(CallerEvent::NotFound(message)) => {
                let body = body::error(&message, "resolve");
                return write_json(response, StatusCode::NOT_FOUND, &body);
            }
            None => {
                let body = body::error("entry is stopping", "admit");
                return write_json(response, StatusCode::SERVICE_UNAVAILABLE, &body);
            }
        }
    }
}

fn send_stream(
    handle: RequestHandle,
    api: CompletionApi,
    id: &str,
    model: String,
    first: &str,
    response: &mut Response,
) {
    let id = id.to_owned();
    let first = sse_event(&api.chunk(&id, &model, first, None));
    let rest = handle.map(move |event| match event {
        CallerEvent::Text(piece) => sse_event(&api.chunk(&id, &model, &piece, None)),
        CallerEvent::Finished { finish_reason, .. } => {
            let last = sse_event(&api.chunk(&id, &model, "", Some(&finish_reason)));
            format!("{last}data: [DONE]\n\n")
        }
        CallerEvent::Refused(refusal) => sse_event(&body::refusal(&refusal)),
        CallerEvent::Accepted { .. } | CallerEvent::Answer { .. } | CallerEvent::NotFound(_) => {
            String::new()
        }
    });
    let pieces = stream::once(std::future::ready(first)).chain(rest).map(Ok::<_, Infallible>);
    set_stream_headers(response);
    response.stream(pieces);
}

fn send_stream_end(
    api: CompletionApi,
    id: &str,
    model: &str,
    finish_reason: &str,
    response: &mut Response,
) {
    let last = sse_event(&api.chunk(id, model, "", Some(finish_reason)));
    set_stream_headers(response);
    let _ = response.write_body(format!("{last}data: [DONE]\n\n"));
}

fn set_stream_headers(response: &mut Response) {
    response.status_code(StatusCode::OK);
    let headers = response.headers_mut();
    headers.insert("content-type", salvo::http::HeaderValue::from_static("text/event-stream"));
    headers.insert("cache-control", salvo::http::HeaderValue::from_static("no-cache"));
}

fn send_service_answer(status: u16, content_type: &str, body: Vec<u8>, response: &mut Response) {
    response.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY));
    if let Ok(value) = content_type.parse() {
        response.headers_mut().insert("content-type", value);
    }
    let _ = response.write_body(body);
}

fn send_refusal(refusal: &Refusal, response: &mut Response) {
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let seconds = retry_after_ms.div_ceil(1000).max(1);
        if let Ok(value) = seconds.to_string().parse() {
            response.headers_mut().insert("retry-after", value);
        }
    }
    let status = StatusCode::from_u16(body::refusal_status(refusal)).unwrap_or_default();
    write_json(response, status, &body::refusal(refusal));
}

/// Formats a server-sent event.
fn sse_event(value: &Value) -> String {
    format!("data: {value}\n\n")
}
