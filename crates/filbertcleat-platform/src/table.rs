//! The table service.

mod row;

use filbertcleat_base::Step;
use filbertcleat_store::Precondition;
use filbertcleat_store::TableOp;
use filbertcleat_store::TableResult;
use http::HeaderMap;
use http::Method;
use http::StatusCode;

pub use self::row::TableRow;
use crate::HttpClient;
use crate::HttpRequest;
use crate::HttpResponse;
use crate::paths;

/// A table service with conditional writes.
pub trait Table {
    /// Carries out one operation.
    fn execute(&self, op: &TableOp) -> impl Future<Output = TableResult> + Send;

    /// Lists at most `limit` rows whose keys begin with `prefix` and come after `after`.
    ///
    /// Returns `None` if the service gives no answer.
    fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Option<Vec<TableRow>>> + Send;
}

/// The table service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpTable {
    client: HttpClient,
    url: String,
}

impl HttpTable {
    /// Creates a client of the table service at `url`.
    pub fn new(client: HttpClient, url: &str) -> Self {
        Self { client, url: url.trim_end_matches('/').to_owned() }
    }

    fn call(&self, op: &TableOp) -> HttpRequest {
        let url = format!("{}{}{}", self.url, paths::TABLE_ROW, op.key());
        match op {
            TableOp::Read { .. } => HttpRequest::new(Step::Store, Method::GET, url),
            TableOp::Write { precondition, value, .. } => {
                let call = HttpRequest::new(Step::Store, Method::PUT, url).with_body(value.clone());
                match precondition {
                    Precondition::Absent => call.with_header("if-none-match", "*"),
                    Precondition::Revision(revision) => {
                        call.with_header("if-match", &revision.to_string())
                    }
                }
            }
            TableOp::Remove { revision, .. } => HttpRequest::new(Step::Store, Method::DELETE, url)
                .with_header("if-match", &revision.to_string()),
        }
    }
}

impl Table for HttpTable {
    async fn execute(&self, op: &TableOp) -> TableResult {
        match self.client.send(self.call(op)).await {
            Ok(answer) => result(op, &answer),
            Err(error) if error.sent => TableResult::UnknownOutcome,
            Err(_) => TableResult::Unavailable,
        }
    }

    async fn list(&self, prefix: &str, after: &str, limit: usize) -> Option<Vec<TableRow>> {
        let url = format!(
            "{}{}?prefix={prefix}&after={after}&limit={limit}",
            self.url,
            paths::TABLE_LIST
        );
        let answer =
            self.client.send(HttpRequest::new(Step::Store, Method::GET, url)).await.ok()?;
        if answer.status != StatusCode::OK {
            return None;
        }
        serde_json::from_slice(&answer.body).ok()
    }
}

fn result(op: &TableOp, answer: &HttpResponse) -> TableResult {
    let revision = revision(&answer.headers);
    match (answer.status, revision) {
        (StatusCode::OK, Some(revision)) if op.is_write() => TableResult::Written { revision },
        (StatusCode::OK, Some(revision)) => {
            TableResult::Found { revision, value: answer.body.to_vec() }
        }
        (StatusCode::NO_CONTENT, _) if op.is_write() => TableResult::Written { revision: 0 },
        (StatusCode::NOT_FOUND, _) => TableResult::NotFound,
        (StatusCode::PRECONDITION_FAILED, _) => TableResult::Conflict,
        (StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _) => {
            TableResult::Unavailable
        }
        // Any other answer tells nothing of whether the write took effect.
        _ => TableResult::UnknownOutcome,
    }
}

fn revision(headers: &HeaderMap) -> Option<u64> {
    headers.get("etag")?.to_str().ok()?.trim_matches('"').parse().ok()
}
