//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc;

/// The body of an answer to a caller.
#[derive(Debug)]
pub(super) enum CallerBody {
    /// A body that is there as a whole.
    Whole(Full<Bytes>),
    /// A body that comes in pieces.
    Pieces(mpsc::Receiver<Result<Bytes, Cut>>),
}

/// A body that ends before its end, so that its connection has to be closed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off at its backend server")
    }
}

impl std::error::Error for Cut {}

impl CallerBody {
    /// Creates a body of text.
    pub fn text(text: &'static str) -> Self {
        Self::Whole(Full::new(Bytes::from_static(text.as_bytes())))
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Self::Whole(whole) => {
                Pin::new(whole).poll_frame(context).map_err(|never| match never {})
            }
            Self::Pieces(pieces) => {
                pieces.poll_recv(context).map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(whole) => whole.is_end_stream(),
            Self::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(whole) => whole.size_hint(),
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}
