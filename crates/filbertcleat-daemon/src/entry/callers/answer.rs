//! Sends an answer to a caller.

use std::convert::Infallible;

use filbertcleat_policy::Refusal;
use futures_util::StreamExt;
use futures_util::stream;
use salvo::Response;
use salvo::http::StatusCode;
use serde_json::Value;

use super::ticket::Ticket;
use super::write_json;
use crate::entry::body;
use crate::entry::body::Shape;
use crate::entry::caller::CallerEvent;

/// Waits for the answer's beginning and sends the answer whole or as a stream.
///
/// A refusal that comes before any piece has its own status; one that comes later is the last
/// event of the stream.
pub(super) async fn send_answer(
    mut ticket: Ticket,
    shape: Option<Shape>,
    streamed: bool,
    response: &mut Response,
) {
    let id = ticket.request.to_string();
    if let Ok(value) = id.parse() {
        response.headers_mut().insert("x-request-id", value);
    }
    let mut model = String::new();
    let mut text = String::new();
    loop {
        match ticket.next().await {
            Some(CallerEvent::Accepted { model: resolved }) => model = resolved,
            Some(CallerEvent::Text(piece)) => match shape {
                Some(shape) if streamed => {
                    return send_stream(ticket, shape, &id, model, &piece, response);
                }
                Some(_) | None => text.push_str(&piece),
            },
            Some(CallerEvent::Finished { finish_reason, tokens }) => {
                let shape = shape.unwrap_or(Shape::Text);
                if streamed {
                    return send_end(shape, &id, &model, &finish_reason, response);
                }
                let whole = shape.whole(&id, &model, &text, &finish_reason, tokens);
                return write_json(response, StatusCode::OK, &whole);
            }
            Some(CallerEvent::Answer { status, content_type, body }) => {
                return send_plain(status, &content_type, body, response);
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
    ticket: Ticket,
    shape: Shape,
    id: &str,
    model: String,
    first: &str,
    response: &mut Response,
) {
    let id = id.to_owned();
    let first = data(&shape.chunk(&id, &model, first, None));
    let rest = ticket.map(move |event| match event {
        CallerEvent::Text(piece) => data(&shape.chunk(&id, &model, &piece, None)),
        CallerEvent::Finished { finish_reason, .. } => {
            let last = data(&shape.chunk(&id, &model, "", Some(&finish_reason)));
            format!("{last}data: [DONE]\n\n")
        }
        CallerEvent::Refused(refusal) => data(&body::refusal(&refusal)),
        CallerEvent::Accepted { .. } | CallerEvent::Answer { .. } | CallerEvent::NotFound(_) => {
            String::new()
        }
    });
    let pieces = stream::once(std::future::ready(first)).chain(rest).map(Ok::<_, Infallible>);
    head_of_stream(response);
    response.stream(pieces);
}

fn send_end(shape: Shape, id: &str, model: &str, finish_reason: &str, response: &mut Response) {
    let last = data(&shape.chunk(id, model, "", Some(finish_reason)));
    head_of_stream(response);
    let _ = response.write_body(format!("{last}data: [DONE]\n\n"));
}

fn head_of_stream(response: &mut Response) {
    response.status_code(StatusCode::OK);
    let headers = response.headers_mut();
    headers.insert("content-type", salvo::http::HeaderValue::from_static("text/event-stream"));
    headers.insert("cache-control", salvo::http::HeaderValue::from_static("no-cache"));
}

fn send_plain(status: u16, content_type: &str, body: Vec<u8>, response: &mut Response) {
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

fn data(value: &Value) -> String {
    format!("data: {value}\n\n")
}
