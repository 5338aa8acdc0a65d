//! How the end of a response body is marked.

use http::HeaderMap;
use http::header::TRANSFER_ENCODING;
use hyper::body::Body;

/// How the end of a response body is marked (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BodyFraming {
    /// The length of the body is known from the head.
    Length,
    /// The last chunk marks the end.
    Chunks,
    /// The end of the connection marks the end, which may also be that of the server's process.
    Connection,
}

impl BodyFraming {
    /// Returns the framing of a body of which nothing has been read.
    pub fn of(headers: &HeaderMap, body: &impl Body) -> Self {
        if body.is_end_stream() || body.size_hint().exact().is_some() {
            return Self::Length;
        }
        // Only the last coding frames a body.
        let codings = headers.get_all(TRANSFER_ENCODING).iter().next_back();
        let coding = codings.and_then(|value| value.to_str().ok()?.rsplit(',').next());
        match coding {
            Some(coding) if coding.trim().eq_ignore_ascii_case("chunked") => Self::Chunks,
            Some(_) | None => Self::Connection,
        }
    }

    /// Returns the text for log lines and the tag value for metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}
