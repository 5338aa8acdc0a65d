//! Bodies of responses from backend servers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

use super::read_allowance::ReadAllowance;

/// The largest unstreamed response. Such a response is read whole before it is forwarded, so that
/// the request can be retried if the response breaks off.
pub(super) const RESPONSE_MAX_BYTES: usize = 16 * 1024 * 1024;
/// The most bytes of a stream read without data among them. The HTTP library reads up to 408 KiB
/// ahead of the data that it returns, at most twice.
const STREAM_FRAMING_MAX_BYTES: usize = 1024 * 1024;

/// The body of a response, on a connection that may read a limited number of bytes for it.
#[derive(Debug)]
pub(super) struct BackendBody {
    incoming: Incoming,
    allowance: ReadAllowance,
    kind: BodyKind,
}

/// What limits the bytes of a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BodyKind {
    /// The whole body has a maximum size, framing included.
    Whole,
    /// A stream may last, but every read has to lead to data.
    Stream,
}

impl BackendBody {
    /// Wraps a body and sets what may be read for it.
    pub fn new(incoming: Incoming, allowance: ReadAllowance, kind: BodyKind) -> Self {
        let bytes_max = match kind {
            BodyKind::Whole => RESPONSE_MAX_BYTES,
            BodyKind::Stream => STREAM_FRAMING_MAX_BYTES,
        };
        allowance.grant(bytes_max);
        Self { incoming, allowance, kind }
    }
}

impl Body for BackendBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let body = self.get_mut();
        let frame = Pin::new(&mut body.incoming).poll_frame(context);
        if body.kind == BodyKind::Stream && matches!(frame, Poll::Ready(Some(Ok(_)))) {
            body.allowance.grant(STREAM_FRAMING_MAX_BYTES);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
