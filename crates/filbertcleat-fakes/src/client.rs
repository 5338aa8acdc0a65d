//! A caller for tests and the demo.

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

/// A caller of one entry.
#[derive(Clone, Debug)]
pub struct TestCaller {
    client: HttpClient,
    url: String,
    headers: Vec<Header>,
}

/// A header that is sent with each call.
#[derive(Clone, Debug)]
struct Header {
    name: String,
    value: String,
}

impl TestCaller {
    /// Creates a caller of the entry, or of its operators' interface, at an address.
    pub fn new(address: SocketAddr) -> Self {
        let client = HttpClient::new(Duration::from_secs(60));
        Self { client, url: format!("http://{address}"), headers: Vec::new() }
    }

    /// Adds a header to each call.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push(Header { name: name.to_owned(), value: value.to_owned() });
        self
    }

    /// Asks for a completion and reads the whole answer.
    pub async fn complete(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u64,
    ) -> Result<Reply, CallError> {
        let body = json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens });
        let call = self.call(Method::POST, "/v1/completions").with_json(&body);
        let answer = self.client.send(call).await?;
        let value: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        let text = value["choices"][0]["text"].as_str().unwrap_or_default().to_owned();
        let whole = answer.status.is_success() && !value["choices"][0]["finish_reason"].is_null();
        let error = value.get("error").cloned();
        Ok(Reply {
            status: answer.status.as_u16(),
            text,
            is_complete: whole,
            error,
            time_to_first_chunk: None,
            body: value,
        })
    }

    /// Asks for a streamed completion and reads it to its end.
    pub async fn stream(
        &self,
        model: &str,
        prompt: &str,
        max_tokens: u64,
    ) -> Result<Reply, CallError> {
        let body =
            json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true });
        let began = Instant::now();
        let call = self.call(Method::POST, "/v1/completions").with_json(&body);
        let response = self.client.send_streaming(call).await?;
        let status = response.status().as_u16();
        let mut body = response.into_body();
        let mut reader = SseReader::default();
        let mut time_to_first_chunk = None;
        let mut raw = Vec::new();
        while let Some(Ok(frame)) = body.frame().await {
            if let Some(bytes) = frame.data_ref() {
                time_to_first_chunk.get_or_insert_with(|| began.elapsed());
                raw.extend_from_slice(bytes);
                reader.push(bytes);
            }
        }
        let value: Value = serde_json::from_slice(&raw).unwrap_or(Value::Null);
        let error = reader.error.or_else(|| value.get("error").cloned());
        Ok(Reply {
            status,
            text: reader.text,
            is_complete: reader.done,
            error,
            time_to_first_chunk,
            body: value,
        })
    }

    /// Makes any other call.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Result<HttpResponse, CallError> {
        let call = self.call(method, path);
        let call = if body.is_null() { call } else { call.with_json(body) };
        self.client.send(call).await
    }

    fn call(&self, method: Method, path: &str) -> HttpRequest {
        let call = HttpRequest::new(Step::Call, method, format!("{}{path}", self.url));
        self.headers.iter().fold(call, |call, header| call.with_header(&header.name, &header.value))
    }
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The text of the answer.
    pub text: String,
    /// Whether the answer came to its proper end.
    pub is_complete: bool,
    /// The error, if there was one.
    pub error: Option<Value>,
    /// The time to the first piece of a streamed answer.
    pub time_to_first_chunk: Option<Duration>,
    /// The body of an unstreamed answer.
    pub body: Value,
}
