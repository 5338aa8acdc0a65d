//! HTTP requests.

use std::time::Duration;

use bytes::Bytes;
use filbertcleat_base::Step;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use tokio::time::Instant;

/// What the time limit of a request applies to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TimeLimit {
    /// The whole exchange.
    Whole(Duration),
    /// The time until the head, and that between two parts of the body.
    Idle(Duration),
}

impl TimeLimit {
    /// Returns when the next part of the response to a request that was sent at `begun_at` is due.
    pub(super) fn deadline(self, begun_at: Instant) -> Instant {
        match self {
            Self::Whole(limit) => begun_at + limit,
            Self::Idle(limit) => Instant::now() + limit,
        }
    }

    /// Returns the duration of the limit.
    pub(super) fn duration(self) -> Duration {
        match self {
            Self::Whole(limit) | Self::Idle(limit) => limit,
        }
    }

    /// Returns what is missing when the limit is exceeded within a body.
    pub(super) fn missing_part(self) -> &'static str {
        match self {
            Self::Whole(_) => "no complete answer",
            Self::Idle(_) => "no data",
        }
    }
}

/// An HTTP request with the processing step that errors are attributed to.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    pub(super) step: Step,
    pub(super) method: Method,
    pub(super) url: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) time_limit: Option<TimeLimit>,
    pub(super) response_max_bytes: Option<usize>,
}

impl HttpRequest {
    /// Creates a request without a body.
    pub fn new(step: Step, method: Method, url: String) -> Self {
        Self {
            step,
            method,
            url,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            time_limit: None,
            response_max_bytes: None,
        }
    }

    /// Creates a request that reads, and has failed once nothing has arrived for `silence`. A limit on
    /// the whole response would limit its size on a narrow link.
    pub fn read(step: Step, url: String, silence: Duration) -> Self {
        Self::new(step, Method::GET, url).with_idle_timeout(silence)
    }

    /// Adds a header; a name or value that is invalid in HTTP is ignored.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        let name = HeaderName::try_from(name);
        let value = HeaderValue::try_from(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            self.headers.insert(name, value);
        }
        self
    }

    /// Sets the request body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets a JSON body and its content type.
    pub fn with_json(self, value: &serde_json::Value) -> Self {
        self.with_header("content-type", "application/json").with_body(value.to_string())
    }

    /// Sets the time limit of the whole exchange, which overrides the client's default.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.time_limit = Some(TimeLimit::Whole(timeout));
        self
    }

    /// Limits the time without any data in place of the whole exchange.
    pub fn with_idle_timeout(mut self, timeout: Duration) -> Self {
        self.time_limit = Some(TimeLimit::Idle(timeout));
        self
    }

    /// Sets the largest response body, which overrides the client's default.
    pub fn with_response_max(mut self, bytes: usize) -> Self {
        self.response_max_bytes = Some(bytes);
        self
    }

    /// Returns the host and port of the URL.
    pub(super) fn peer(&self) -> String {
        let rest = self.url.split_once("://").map_or(self.url.as_str(), |(_, rest)| rest);
        rest.split('/').next().unwrap_or(rest).to_owned()
    }
}
