//! The body of a caller's request.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::held_bytes::ByteCount;
use super::held_bytes::HeldBytes;

/// The body of a caller's request, which counts as held until its last clone is dropped.
///
/// As the body of an HTTP message it sends its segments.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestBody {
    segments: Rc<[Bytes]>,
    sent_segments: usize,
    unsent_bytes: u64,
    _held: Option<Rc<HeldBytes>>,
}

impl RequestBody {
    /// Returns the bytes of the body, piece by piece.
    pub fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(|segment| &segment[..])
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let segment = self.segments.get(self.sent_segments).cloned();
        Poll::Ready(segment.map(|segment| {
            self.sent_segments += 1;
            self.unsent_bytes -= segment.len() as u64;
            Ok(Frame::data(segment))
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.unsent_bytes == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.unsent_bytes)
    }
}

/// A body that is being read.
///
/// It copies the bytes into segments of its own: pieces kept as they arrive would each keep the
/// buffer that they were read into, and many small ones would take many times their length.
#[derive(Debug)]
pub(super) struct BodyBuffer {
    segments: Vec<Bytes>,
    /// The segment that is being filled.
    tail: BytesMut,
    length_bytes: u64,
    held: HeldBytes,
}

impl BodyBuffer {
    /// The sizes of segments. Those of a body of unknown length grow with it.
    const SEGMENT_MIN_BYTES: usize = 4 * 1024;
    const SEGMENT_MAX_BYTES: usize = 64 * 1024;

    /// Creates an empty body, whose segments count in `count`.
    pub fn new(count: &ByteCount) -> Self {
        Self { segments: Vec::new(), tail: BytesMut::new(), length_bytes: 0, held: count.hold(0) }
    }

    /// Returns the number of bytes.
    pub fn length_bytes(&self) -> u64 {
        self.length_bytes
    }

    /// Adds bytes, after which `rest_bytes` follow, if that is known.
    pub fn push(&mut self, mut data: &[u8], rest_bytes: Option<u64>) {
        self.length_bytes += data.len() as u64;
        loop {
            let room = self.tail.capacity() - self.tail.len();
            let (fitting, rest) = data.split_at(room.min(data.len()));
            self.tail.extend_from_slice(fitting);
            if rest.is_empty() {
                return;
            }
            data = rest;
            self.add_segment(rest_bytes.map(|bytes| bytes.saturating_add(rest.len() as u64)));
        }
    }

    /// Ends the body.
    pub fn finish(mut self) -> RequestBody {
        if !self.tail.is_empty() {
            self.segments.push(self.tail.freeze());
        }
        RequestBody {
            segments: self.segments.into(),
            sent_segments: 0,
            unsent_bytes: self.length_bytes,
            _held: Some(Rc::new(self.held)),
        }
    }

    /// Begins another segment, for `rest_bytes` if that is known.
    fn add_segment(&mut self, rest_bytes: Option<u64>) {
        let wanted_bytes =
            rest_bytes.unwrap_or(self.length_bytes.max(Self::SEGMENT_MIN_BYTES as u64));
        let capacity = wanted_bytes.min(Self::SEGMENT_MAX_BYTES as u64) as usize;
        self.held.add(capacity);
        let full = std::mem::replace(&mut self.tail, BytesMut::with_capacity(capacity));
        if !full.is_empty() {
            self.segments.push(full.freeze());
        }
    }
}
