//! The body of a caller's request.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use filbertcleat_serve::NoRoom;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::body_rooms::BodyRoom;

/// The body of a caller's request, which counts as held until its last clone is dropped.
///
/// As the body of an HTTP message it sends its segments.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestBody {
    segments: Rc<[Bytes]>,
    sent_segments: usize,
    unsent_bytes: u64,
    _room: Option<Rc<BodyRoom>>,
}

impl RequestBody {
    /// Creates a body that has been read to its end, and keeps its memory.
    pub fn new(room: BodyRoom) -> Self {
        let BodyBuffer { mut segments, tail, length_bytes } = room.finish();
        if !tail.is_empty() {
            segments.push(tail.freeze());
        }
        Self {
            segments: segments.into(),
            sent_segments: 0,
            unsent_bytes: length_bytes,
            _room: Some(Rc::new(room)),
        }
    }

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
#[derive(Debug, Default)]
pub(super) struct BodyBuffer {
    segments: Vec<Bytes>,
    /// The segment that is being filled.
    tail: BytesMut,
    length_bytes: u64,
}

impl BodyBuffer {
    /// The sizes of segments. Those of a body of unknown length grow with it.
    const SEGMENT_MIN_BYTES: usize = 4 * 1024;
    const SEGMENT_MAX_BYTES: usize = 64 * 1024;

    /// Returns the number of bytes.
    pub fn length_bytes(&self) -> u64 {
        self.length_bytes
    }

    /// Adds bytes, after which `rest_bytes` follow, if that is known. Each segment needs room for
    /// its size.
    pub fn push(
        &mut self,
        mut data: &[u8],
        rest_bytes: Option<u64>,
        mut take_room: impl FnMut(usize) -> Result<(), NoRoom>,
    ) -> Result<(), NoRoom> {
        self.length_bytes += data.len() as u64;
        loop {
            let room = self.tail.capacity() - self.tail.len();
            let (fitting, rest) = data.split_at(room.min(data.len()));
            self.tail.extend_from_slice(fitting);
            if rest.is_empty() {
                return Ok(());
            }
            data = rest;
            let rest_bytes = rest_bytes.map(|bytes| bytes.saturating_add(rest.len() as u64));
            let capacity = self.segment_bytes(rest_bytes);
            take_room(capacity)?;
            let full = std::mem::replace(&mut self.tail, BytesMut::with_capacity(capacity));
            if !full.is_empty() {
                self.segments.push(full.freeze());
            }
        }
    }

    /// Returns the size of the next segment, for `rest_bytes` if that is known.
    fn segment_bytes(&self, rest_bytes: Option<u64>) -> usize {
        let grown_bytes = self.length_bytes.max(Self::SEGMENT_MIN_BYTES as u64);
        rest_bytes.unwrap_or(grown_bytes).min(Self::SEGMENT_MAX_BYTES as u64) as usize
    }
}
