//! HTTP calls with a time limit.

mod call;

use std::time::Duration;

use bytes::Bytes;
use filbertcleat_base::Fault;
use filbertcleat_base::Step;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;

pub use self::call::HttpRequest;
use crate::CallError;

/// Makes HTTP calls over pooled connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl HttpClient {
    /// The largest answer that is read into memory.
    const ANSWER_MAX_BYTES: usize = 64 * 1024 * 1024;

    /// Creates a client whose calls take `timeout` at most.
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

    /// Returns the time that a call may take.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Makes a call and reads the whole answer.
    pub async fn send(&self, call: HttpRequest) -> Result<HttpResponse, CallError> {
        let (step, peer) = (call.step, call.peer());
        let timeout = call.timeout.unwrap_or(self.timeout);
        let whole = async {
            let response = self.send_streaming(call).await?;
            read_whole(response, step, &peer).await
        };

        match tokio::time::timeout(timeout, whole).await {
            Ok(answer) => answer,
            Err(_elapsed) => {
                let reason = format!("no answer within {} ms", timeout.as_millis());
                Err(CallError { sent: true, fault: Fault::new(step, peer, reason) })
            }
        }
    }

    /// Makes a call and returns once the answer has begun.
    ///
    /// There is no time limit, so the caller sets its own.
    pub async fn send_streaming(&self, call: HttpRequest) -> Result<Response<Incoming>, CallError> {
        let (step, peer) = (call.step, call.peer());
        let request = request(call, step, &peer)?;
        self.client.request(request).await.map_err(|error| CallError {
            sent: !error.is_connect(),
            fault: Fault::new(step, peer, chain(&error)),
        })
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

fn request(call: HttpRequest, step: Step, peer: &str) -> Result<Request<Full<Bytes>>, CallError> {
    let mut builder = Request::builder().method(call.method).uri(call.url);
    if let Some(headers) = builder.headers_mut() {
        headers.extend(call.headers);
    }
    builder
        .body(Full::new(call.body))
        .map_err(|error| CallError { sent: false, fault: Fault::new(step, peer, error) })
}

async fn read_whole(
    response: Response<Incoming>,
    step: Step,
    peer: &str,
) -> Result<HttpResponse, CallError> {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, HttpClient::ANSWER_MAX_BYTES).collect().await;
    let body =
        body.map_err(|error| CallError { sent: true, fault: Fault::new(step, peer, error) })?;
    Ok(HttpResponse { status: head.status, headers: head.headers, body: body.to_bytes() })
}

/// Writes an error with its causes, since the outermost says little.
fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}
