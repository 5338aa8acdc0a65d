//! The body of a response while it is written to its caller.

use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::Version;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::body::CallerBody;
use super::body::StreamCut;
use super::connection_activity::ConnectionActivity;

/// The body of a response, which keeps its connection busy until it has been written.
///
/// Hyper drops it when the whole body is in the buffer of the connection.
#[derive(Debug)]
pub(super) struct ResponseBody {
    body: CallerBody,
    open: OpenResponse,
}

impl ResponseBody {
    /// Wraps the body of a response.
    pub fn new(body: CallerBody, open: OpenResponse) -> Self {
        Self { body, open }
    }

    /// Returns whether only the end of the connection marks the end of the body.
    pub fn is_end_unmarked(&self) -> bool {
        !self.open.has_chunks && self.body.size_hint().exact().is_none()
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamCut>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        match &frame {
            Poll::Ready(Some(Ok(frame))) => {
                self.open.on_taken(frame.data_ref().map_or(0, Bytes::len));
            }
            Poll::Ready(Some(Err(StreamCut))) => self.open.on_cut(),
            Poll::Ready(None) | Poll::Pending => {}
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Marks its connection as busy from the arrival of a request to the end of its response.
#[derive(Debug)]
pub(super) struct OpenResponse {
    activity: Rc<ConnectionActivity>,
    has_chunks: bool,
}

impl OpenResponse {
    /// Records that a request will be responded to, in the HTTP version of the request.
    pub fn begin(activity: &Rc<ConnectionActivity>, version: Version) -> Self {
        activity.begin_response();
        Self { activity: Rc::clone(activity), has_chunks: version >= Version::HTTP_11 }
    }

    /// Records that the body was cut.
    fn on_cut(&self) {
        if !self.has_chunks {
            self.activity.reset_after_cut();
        }
    }

    /// Records that bytes of the body have been taken into the buffer of the connection.
    fn on_taken(&self, bytes: usize) {
        self.activity.on_buffered(bytes);
    }
}

impl Drop for OpenResponse {
    fn drop(&mut self) {
        self.activity.end_response();
    }
}
