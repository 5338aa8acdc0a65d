//! Bodies of responses to callers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::caller_stream::StreamBody;
use super::held_bytes::HeldBytes;

/// The body of a response to a caller.
#[derive(Debug)]
pub(super) enum CallerBody {
    /// A complete body, which counts as held until the connection takes it.
    Complete { body: Full<Bytes>, held: Option<HeldBytes> },
    /// A stream of events.
    Stream(StreamBody),
}

/// The error of a stream that is cut before its end, which closes the caller's connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct StreamCut;

impl std::fmt::Display for StreamCut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stream from the backend server was cut")
    }
}

impl std::error::Error for StreamCut {}

impl CallerBody {
    /// Creates a body from a text.
    pub fn text(text: &'static str) -> Self {
        let body = Full::new(Bytes::from_static(text.as_bytes()));
        Self::Complete { body, held: None }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = StreamCut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamCut>>> {
        match self.get_mut() {
            Self::Complete { body, held } => {
                *held = None;
                Pin::new(body).poll_frame(context).map_err(|never| match never {})
            }
            Self::Stream(body) => Pin::new(body).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Complete { body, .. } => body.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete { body, .. } => body.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
