//! Acceptance of asynchronous requests, and responses with their answers.

use std::time::Duration;

use filbertcleat_platform::ObjectStore;
use filbertcleat_platform::Table;
use filbertcleat_store::Precondition;
use filbertcleat_store::TableOp;
use filbertcleat_store::TableResult;
use salvo::Response;
use salvo::http::StatusCode;
use serde_json::json;
use tokio::time::Instant;

use super::row::AsyncRequest;
use super::row::AsyncRequestRow;
use super::row::AsyncRequestState;
use super::row::key;
use crate::entry::CallerContext;
use crate::entry::body;
use crate::entry::body::CompletionApi;
use crate::entry::callers::write_json;
use crate::entry::request_headers::RequestHeaders;

/// The time after which a caller gets an error if its request could not be stored.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);
/// The delay after a failed operation.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Stores a request and responds with the address of its future answer.
pub(in crate::entry) async fn accept(
    context: &CallerContext,
    headers: RequestHeaders,
    model: String,
    chat: bool,
    body: &[u8],
    response: &mut Response,
) {
    let id = context.next_async_request_id();
    let idempotent = !headers.non_idempotent;
    let request = AsyncRequest {
        model,
        chat,
        body: String::from_utf8_lossy(body).into_owned(),
        class: headers.class,
        non_idempotent: headers.non_idempotent,
        deadline_ms: headers.deadline_ms,
    };
    let row = AsyncRequestRow { idempotent, fence: 0, state: AsyncRequestState::Waiting };
    match store(context, &id, &request, &row).await {
        Stored::Yes => {
            let address = format!("/v1/work/{id}");
            if let Ok(value) = address.parse() {
                response.headers_mut().insert("location", value);
            }
            write_json(response, StatusCode::ACCEPTED, &json!({ "id": id, "state": "waiting" }));
        }
        Stored::No => {
            let body = body::error("platform's store is unavailable", "store");
            write_json(response, StatusCode::SERVICE_UNAVAILABLE, &body);
        }
        Stored::Unknown => {
            let body = json!({ "error": {
                "message": "platform's store did not answer: query the address later",
                "run": "unknown", "step": "store", "peer": "entry", "address": format!("/v1/work/{id}"),
            } });
            write_json(response, StatusCode::BAD_GATEWAY, &body);
        }
    }
}

/// Responds with the state of an asynchronous request, and with its answer once there is one.
pub(in crate::entry) async fn fetch(context: &CallerContext, id: &str, response: &mut Response) {
    let row = match context.table.execute(&TableOp::Read { key: key(id) }).await {
        TableResult::Found { value, .. } => serde_json::from_slice::<AsyncRequestRow>(&value).ok(),
        TableResult::NotFound => {
            let body =
                body::error(&format!("asynchronous request {id:?} does not exist"), "resolve");
            return write_json(response, StatusCode::NOT_FOUND, &body);
        }
        TableResult::Written { .. }
        | TableResult::Conflict
        | TableResult::UnknownOutcome
        | TableResult::Unavailable => None,
    };
    let Some(row) = row else {
        let body = json!({ "error": {
            "message": "platform's store is unavailable", "run": "unknown", "step": "store", "peer": "table service",
        } });
        return write_json(response, StatusCode::SERVICE_UNAVAILABLE, &body);
    };

    match row.state {
        AsyncRequestState::Done { model, text, finish_reason, tokens } => {
            let answer =
                CompletionApi::Text.whole_answer(id, &model, &text, &finish_reason, tokens);
            write_json(
                response,
                StatusCode::OK,
                &json!({ "id": id, "state": "done", "answer": answer }),
            );
        }
        AsyncRequestState::Waiting | AsyncRequestState::Taken { .. } => {
            let body = json!({ "id": id, "state": row.state.as_str() });
            write_json(response, StatusCode::ACCEPTED, &body);
        }
        AsyncRequestState::Unknown { reason } => write_failure(id, &reason, "unknown", response),
        AsyncRequestState::Failed { reason } => write_failure(id, &reason, "no", response),
    }
}

/// Responds that an asynchronous request has ended without an answer.
fn write_failure(id: &str, reason: &str, run: &str, response: &mut Response) {
    let error = json!({ "message": reason, "run": run, "step": "stream", "peer": "entry" });
    write_json(response, StatusCode::OK, &json!({ "id": id, "error": error }));
}

/// Whether a request is stored.
enum Stored {
    Yes,
    No,
    Unknown,
}

/// Stores a request's object and then its row, retrying until the timeout.
async fn store(
    context: &CallerContext,
    id: &str,
    request: &AsyncRequest,
    row: &AsyncRequestRow,
) -> Stored {
    let deadline = Instant::now() + ACCEPT_TIMEOUT;
    let object = serde_json::to_vec(request).unwrap_or_default();
    while context.objects.write(&key(id), object.clone()).await.is_err() {
        if Instant::now() >= deadline {
            return Stored::No;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }

    let write =
        TableOp::Write { key: key(id), precondition: Precondition::Absent, value: row.to_json() };
    let mut may_be_stored = false;
    loop {
        match context.table.execute(&write).await {
            // No other writer creates this row, so on a conflict an earlier attempt succeeded.
            TableResult::Written { .. } | TableResult::Conflict => return Stored::Yes,
            TableResult::UnknownOutcome => may_be_stored = true,
            TableResult::Unavailable | TableResult::NotFound | TableResult::Found { .. } => {}
        }
        if Instant::now() >= deadline {
            return if may_be_stored { Stored::Unknown } else { Stored::No };
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
