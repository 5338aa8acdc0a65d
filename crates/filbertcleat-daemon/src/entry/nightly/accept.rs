//! Takes in work and hands out its results.

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

use super::row::WorkOrder;
use super::row::WorkRow;
use super::row::WorkState;
use super::row::key;
use crate::entry::CallerGate;
use crate::entry::body;
use crate::entry::body::Shape;
use crate::entry::callers::write_json;
use crate::entry::request::Marks;

/// How long a caller waits for the platform to keep its request.
const ACCEPT_WITHIN: Duration = Duration::from_secs(5);
/// The pause after a failed operation.
const PAUSE: Duration = Duration::from_millis(100);

/// Keeps a request and tells the caller where its result will be.
pub(in crate::entry) async fn accept(
    gate: &CallerGate,
    marks: Marks,
    model: String,
    chat: bool,
    body: &[u8],
    response: &mut Response,
) {
    let id = gate.next_work();
    let idempotent = !marks.non_idempotent;
    let order = WorkOrder {
        model,
        chat,
        body: String::from_utf8_lossy(body).into_owned(),
        class: marks.class,
        non_idempotent: marks.non_idempotent,
        deadline_ms: marks.deadline_ms,
    };
    let row = WorkRow { idempotent, fence: 0, state: WorkState::Waiting };
    match keep(gate, &id, &order, &row).await {
        Kept::Yes => {
            let address = format!("/v1/work/{id}");
            if let Ok(value) = address.parse() {
                response.headers_mut().insert("location", value);
            }
            write_json(response, StatusCode::ACCEPTED, &json!({ "id": id, "state": "waiting" }));
        }
        Kept::No => {
            let body = body::error("platform's store is unavailable", "store");
            write_json(response, StatusCode::SERVICE_UNAVAILABLE, &body);
        }
        Kept::Unknown => {
            let body = json!({ "error": {
                "message": "platform's store gave no answer: look at the address later",
                "run": "unknown", "step": "store", "peer": "entry", "address": format!("/v1/work/{id}"),
            } });
            write_json(response, StatusCode::BAD_GATEWAY, &body);
        }
    }
}

/// Tells a caller where its accepted request stands.
pub(in crate::entry) async fn fetch(gate: &CallerGate, id: &str, response: &mut Response) {
    let row = match gate.table.execute(&TableOp::Read { key: key(id) }).await {
        TableResult::Found { value, .. } => serde_json::from_slice::<WorkRow>(&value).ok(),
        TableResult::NotFound => {
            let body = body::error(&format!("accepted request {id:?} does not exist"), "resolve");
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
        WorkState::Done { model, text, finish_reason, tokens } => {
            let answer = Shape::Text.whole(id, &model, &text, &finish_reason, tokens);
            write_json(
                response,
                StatusCode::OK,
                &json!({ "id": id, "state": "done", "answer": answer }),
            );
        }
        WorkState::Waiting | WorkState::Taken { .. } => {
            let body = json!({ "id": id, "state": row.state.as_str() });
            write_json(response, StatusCode::ACCEPTED, &body);
        }
        WorkState::Unknown { reason } => end(id, &reason, "unknown", response),
        WorkState::Failed { reason } => end(id, &reason, "no", response),
    }
}

/// Tells a caller that its accepted request has no answer.
fn end(id: &str, reason: &str, run: &str, response: &mut Response) {
    let error = json!({ "message": reason, "run": run, "step": "stream", "peer": "entry" });
    write_json(response, StatusCode::OK, &json!({ "id": id, "error": error }));
}

/// Whether a request is kept.
enum Kept {
    Yes,
    No,
    Unknown,
}

async fn keep(gate: &CallerGate, id: &str, order: &WorkOrder, row: &WorkRow) -> Kept {
    let deadline = Instant::now() + ACCEPT_WITHIN;
    let object = serde_json::to_vec(order).unwrap_or_default();
    while gate.objects.write(&key(id), object.clone()).await.is_err() {
        if Instant::now() >= deadline {
            return Kept::No;
        }
        tokio::time::sleep(PAUSE).await;
    }

    let write =
        TableOp::Write { key: key(id), precondition: Precondition::Absent, value: row.to_json() };
    let mut may_be_kept = false;
    loop {
        match gate.table.execute(&write).await {
            // Nobody else makes this row, so it is there by an earlier write of this call.
            TableResult::Written { .. } | TableResult::Conflict => return Kept::Yes,
            TableResult::UnknownOutcome => may_be_kept = true,
            TableResult::Unavailable | TableResult::NotFound | TableResult::Found { .. } => {}
        }
        if Instant::now() >= deadline {
            return if may_be_kept { Kept::Unknown } else { Kept::No };
        }
        tokio::time::sleep(PAUSE).await;
    }
}
