//! An HTTP client with time limits.

mod request;

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use filbertcleat_base::Fault;
use filbertcleat_base::Step;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use tokio::time::Instant;
use tokio::time::timeout_at;

pub use self::request::HttpRequest;
use self::request::TimeLimit;
use crate::CallError;

/// An HTTP client with pooled connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl HttpClient {
    /// The maximum size of a response body that is read into memory, unless the request sets one.
    const RESPONSE_MAX_BYTES: usize = 64 * 1024 * 1024;

    /// Creates a client with a default time limit for each request.
    pub fn new(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout.min(Duration::from_secs(1))));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self { client, timeout }
    }

    /// Returns the default time limit.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Returns a client with the same time limit and none of the open connections.
    pub fn without_connections(&self) -> Self {
        Self::new(self.timeout)
    }

    /// Sends a request and reads the complete response, within the request's time limit. Fails if
    /// the response is larger than the request allows.
    pub async fn send(&self, request: HttpRequest) -> Result<HttpResponse, CallError> {
        let (step, peer) = (request.step, request.peer());
        self.send_bounded(request).await?.into_whole().ok_or_else(|| {
            let reason = "the response is larger than allowed";
            CallError { sent: true, fault: Fault::new(step, peer, reason) }
        })
    }

    /// Sends a request and reads the response, unless the response is larger than the request allows.
    pub async fn send_bounded(&self, request: HttpRequest) -> Result<BoundedResponse, CallError> {
        let (step, peer) = (request.step, request.peer());
        let max_bytes = request.response_max_bytes.unwrap_or(Self::RESPONSE_MAX_BYTES);
        let limit = request.time_limit.unwrap_or(TimeLimit::Whole(self.timeout));
        let begun_at = Instant::now();
        let head = timeout_at(limit.deadline(begun_at), self.send_streaming(request)).await;
        let response = head.map_err(|_elapsed| {
            let reason = format!("no answer within {} ms", limit.duration().as_millis());
            CallError { sent: true, fault: Fault::new(step, &peer, reason) }
        })??;
        read_whole(response, step, &peer, max_bytes, limit, begun_at).await
    }

    /// Sends a request and returns its response once the head has arrived.
    ///
    /// Applies no time limit other than that for connecting; the caller must limit the time.
    pub async fn send_streaming(
        &self,
        request: HttpRequest,
    ) -> Result<Response<Incoming>, CallError> {
        let (step, peer) = (request.step, request.peer());
        let request = to_http_request(request, step, &peer)?;
        self.client.request(request).await.map_err(|error| CallError {
            sent: !error.is_connect(),
            fault: Fault::new(step, peer, error_chain(&error)),
        })
    }
}

/// An HTTP response whose body is read up to a size.
#[derive(Clone, Debug)]
pub struct BoundedResponse {
    /// The status code.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    /// The response body; `None` if it is larger than the request allows.
    pub body: Option<Bytes>,
}

impl BoundedResponse {
    /// Returns the response if its body was read.
    pub fn into_whole(self) -> Option<HttpResponse> {
        let Self { status, headers, body } = self;
        body.map(|body| HttpResponse { status, headers, body })
    }
}

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// The status code.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    /// The response body.
    pub body: Bytes,
}

fn to_http_request(
    request: HttpRequest,
    step: Step,
    peer: &str,
) -> Result<Request<Full<Bytes>>, CallError> {
    let mut builder = Request::builder().method(request.method).uri(request.url);
    if let Some(headers) = builder.headers_mut() {
        headers.extend(request.headers);
    }
    builder
        .body(Full::new(request.body))
        .map_err(|error| CallError { sent: false, fault: Fault::new(step, peer, error) })
}

/// Reads the body of the response to a request that was sent at `begun_at`, within its time limit, up
/// to `max_bytes`.
async fn read_whole(
    response: Response<Incoming>,
    step: Step,
    peer: &str,
    max_bytes: usize,
    limit: TimeLimit,
    begun_at: Instant,
) -> Result<BoundedResponse, CallError> {
    let failure = |reason: String| CallError { sent: true, fault: Fault::new(step, peer, reason) };
    let (head, mut body) = response.into_parts();
    let Parts { status, headers, .. } = head;
    let expected = body.size_hint().exact();
    let is_oversized = |length: usize| length > max_bytes;
    if expected.is_some_and(|length| usize::try_from(length).map_or(true, is_oversized)) {
        return Ok(BoundedResponse { status, headers, body: None });
    }
    let mut bytes = BytesMut::new();
    loop {
        let Ok(frame) = timeout_at(limit.deadline(begun_at), body.frame()).await else {
            let expected = expected.map_or("unknown".to_owned(), |length| length.to_string());
            return Err(failure(format!(
                "{} within {} ms, {} of {expected} bytes arrived",
                limit.missing_part(),
                limit.duration().as_millis(),
                bytes.len(),
            )));
        };
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|error| failure(error.to_string()))?;
        if let Ok(data) = frame.into_data() {
            if is_oversized(bytes.len() + data.len()) {
                return Ok(BoundedResponse { status, headers, body: None });
            }
            bytes.extend_from_slice(&data);
        }
    }
    Ok(BoundedResponse { status, headers, body: Some(bytes.freeze()) })
}

/// Formats an error with all its causes, since the outermost error lacks the details.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}
