//! An HTTP client of entries, for tests and examples.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use filbertcleat_base::Step;
use filbertcleat_platform::CallError;
use filbertcleat_platform::HttpClient;
use filbertcleat_platform::HttpRequest;
use filbertcleat_platform::HttpResponse;
use http::Method;
use http_body_util::BodyExt;
use serde_json::Value;
use serde_json::json;

use crate::sse_reader::SseReader;

/// An HTTP client that sends requests to one address of an entry.
#[derive(Clone, Debug)]
pub struct TestCaller {
    client: HttpClient,
    url: String,
    headers: Vec<Header>,
}

/// A header that is added to each request.
#[derive(Clone, Debug)]
struct Header {
    name: String,
    value: String,
}

impl TestCaller {
    /// Creates a client of the caller or operator interface at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let client = HttpClient::new(Duration::from_secs(60));
        Self { client, url: format!("http://{address}"), headers: Vec::new() }
    }

    /// Adds a header to each request.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push(Header { name: name.to_owned(), value: value.to_owned() });
        self
    }

    /// Requests a completion and reads the complete response.
    pub async fn complete(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u64,
    ) -> Result<Reply, CallError> {
        let body = json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens });
        let request = self.request(Method::POST, "/v1/completions").with_json(&body);
        let response = self.client.send(request).await?;
        let value: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
        let text = value["choices"][0]["text"].as_str().unwrap_or_default().to_owned();
        let is_complete =
            response.status.is_success() && !value["choices"][0]["finish_reason"].is_null();
        let error = value.get("error").cloned();
        Ok(Reply {
            status: response.status.as_u16(),
            text,
            is_complete,
            error,
            time_to_first_chunk: None,
            body: value,
        })
    }

    /// Requests a streamed completion and reads it until the stream ends.
    pub async fn stream(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u64,
    ) -> Result<Reply, CallError> {
        let body =
            json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true });
        let started_at = Instant::now();
        let request = self.request(Method::POST, "/v1/completions").with_json(&body);
        let response = self.client.send_streaming(request).await?;
        let status = response.status().as_u16();
        let mut body = response.into_body();
        let mut reader = SseReader::default();
        let mut time_to_first_chunk = None;
        let mut raw_body = Vec::new();
        while let Some(Ok(frame)) = body.frame().await {
            if let Some(bytes) = frame.data_ref() {
                time_to_first_chunk.get_or_insert_with(|| started_at.elapsed());
                raw_body.extend_from_slice(bytes);
                reader.push(bytes);
            }
        }
        let value: Value = serde_json::from_slice(&raw_body).unwrap_or(Value::Null);
        let error = reader.error.or_else(|| value.get("error").cloned());
        Ok(Reply {
            status,
            text: reader.text,
            is_complete: reader.is_done,
            error,
            time_to_first_chunk,
            body: value,
        })
    }

    /// Sends any other request, without a body if `body` is null.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Result<HttpResponse, CallError> {
        let request = self.request(method, path);
        let request = if body.is_null() { request } else { request.with_json(body) };
        self.client.send(request).await
    }

    fn request(&self, method: Method, path: &str) -> HttpRequest {
        let request = HttpRequest::new(Step::Call, method, format!("{}{path}", self.url));
        self.headers
            .iter()
            .fold(request, |request, header| request.with_header(&header.name, &header.value))
    }
}

/// The response to a completion request.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The text of the completion.
    pub text: String,
    /// Whether the completion has a finish reason or, if streamed, its `[DONE]` event.
    pub is_complete: bool,
    /// The error object of the response, if any.
    pub error: Option<Value>,
    /// The time from sending the request to the first bytes of a streamed response.
    pub time_to_first_chunk: Option<Duration>,
    /// The response body if it is JSON; null for a stream.
    pub body: Value,
}
