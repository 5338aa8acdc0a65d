//! The client of the table service.

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
    /// Executes one operation.
    fn execute(&self, op: &TableOp) -> impl Future<Output = TableResult> + Send;

    /// Lists up to `limit` rows whose keys start with `prefix` and are greater than `after`.
    ///
    /// Returns `None` if the request fails.
    fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Option<Vec<TableRow>>> + Send;
}

/// An HTTP client of the table service.
#[derive(Clone, Debug)]
pub struct HttpTable {
    client: HttpClient,
    url: String,
}

impl HttpTable {
    /// Creates a client for the table service at `url`.
    pub fn new(client: HttpClient, url: &str) -> Self {
        Self { client, url: url.trim_end_matches('/').to_owned() }
    }

    fn request(&self, op: &TableOp) -> HttpRequest {
        let url = format!("{}{}{}", self.url, paths::TABLE_ROW, op.key());
        match op {
            TableOp::Read { .. } => HttpRequest::new(Step::Store, Method::GET, url),
            TableOp::Write { precondition, value, .. } => {
                let request =
                    HttpRequest::new(Step::Store, Method::PUT, url).with_body(value.clone());
                match precondition {
                    Precondition::Absent => request.with_header("if-none-match", "*"),
                    Precondition::Revision(revision) => {
                        request.with_header("if-match", &revision.to_string())
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
        match self.client.send(self.request(op)).await {
            Ok(response) => table_result(op, &response),
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
        let request = HttpRequest::read(Step::Store, url, self.client.timeout());
        let response = self.client.send(request).await.ok()?;
        if response.status != StatusCode::OK {
            return None;
        }
        serde_json::from_slice(&response.body).ok()
    }
}

fn table_result(op: &TableOp, response: &HttpResponse) -> TableResult {
    let revision = revision(&response.headers);
    match (response.status, revision) {
        (StatusCode::OK, Some(revision)) if op.is_write() => TableResult::Written { revision },
        (StatusCode::OK, Some(revision)) => {
            TableResult::Found { revision, value: response.body.to_vec() }
        }
        (StatusCode::NO_CONTENT, _) if op.is_write() => TableResult::Written { revision: 0 },
        (StatusCode::NOT_FOUND, _) => TableResult::NotFound,
        (StatusCode::PRECONDITION_FAILED, _) => TableResult::Conflict,
        (StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _) => {
            TableResult::Unavailable
        }
        // Any other response leaves open whether the write took effect.
        _ => TableResult::UnknownOutcome,
    }
}

fn revision(headers: &HeaderMap) -> Option<u64> {
    headers.get("etag")?.to_str().ok()?.trim_matches('"').parse().ok()
}
