//! The queue of a stream between its relay and the connection of its caller.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures_util::ready;
use hyper::body::Body;
use hyper::body::Frame;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;

use super::backend_body::RESPONSE_MAX_BYTES;
use super::body::StreamCut;
use super::caller_memory::CallerMemory;
use super::connection_activity::ConnectionActivity;
use super::held_bytes::HeldBytes;

/// Events that are queued for a slow caller before backpressure reaches the backend server.
const EVENTS_MAX: usize = 32;
/// The most bytes that are queued for a caller: as many as are held of a response that is no stream.
/// A caller that reads nothing for some seconds still gets a stream whose server has ended.
const QUEUE_MAX_BYTES: usize = RESPONSE_MAX_BYTES;

/// Returns both sides of a stream to the caller of a connection, whose queued bytes count in
/// `memory`.
pub(super) fn caller_stream(
    memory: CallerMemory,
    activity: &Rc<ConnectionActivity>,
) -> (StreamSender, StreamBody) {
    let (sender, chunks) = mpsc::channel(EVENTS_MAX);
    let is_complete = Rc::new(Cell::new(false));
    let room = Arc::new(Semaphore::new(QUEUE_MAX_BYTES));
    let body = StreamBody { chunks, is_complete: Rc::clone(&is_complete) };
    let activity = Rc::clone(activity);
    (StreamSender { chunks: sender, room, memory, activity, is_complete }, body)
}

/// The side to which the events are sent.
///
/// Unless `complete` is called, the stream is cut once all senders are dropped, also if their task
/// ends by a panic.
#[derive(Clone, Debug)]
pub(super) struct StreamSender {
    chunks: mpsc::Sender<QueuedChunk>,
    room: Arc<Semaphore>,
    memory: CallerMemory,
    activity: Rc<ConnectionActivity>,
    is_complete: Rc<Cell<bool>>,
}

/// The error of a stream whose caller has disconnected.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallerGone;

impl StreamSender {
    /// Queues bytes once there is room for them.
    pub async fn send(&self, bytes: Bytes) -> Result<(), CallerGone> {
        let permits = u32::try_from(bytes.len().min(QUEUE_MAX_BYTES)).unwrap_or(u32::MAX);
        let room = Arc::clone(&self.room).acquire_many_owned(permits).await;
        let room = room.map_err(|_closed| CallerGone)?;
        let held = self.memory.hold_event(bytes.len(), || self.unread_bytes(permits)).await;
        let chunk = QueuedChunk { bytes, _room: room, _held: held };
        self.chunks.send(chunk).await.map_err(|_disconnected| CallerGone)
    }

    /// Returns what the caller has not read, without an event that has taken `permits` of the room.
    fn unread_bytes(&self, permits: u32) -> u64 {
        let used = QUEUE_MAX_BYTES.saturating_sub(self.room.available_permits());
        (used as u64).saturating_sub(u64::from(permits)) + self.activity.buffered_bytes()
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Records that the stream is whole, so that it ends properly after what is queued.
    pub fn complete(&self) {
        self.is_complete.set(true);
    }
}

/// Bytes in the queue, which take up room until they are taken.
#[derive(Debug)]
struct QueuedChunk {
    bytes: Bytes,
    _room: OwnedSemaphorePermit,
    _held: HeldBytes,
}

/// The side from which the caller's connection takes the events.
#[derive(Debug)]
pub(super) struct StreamBody {
    chunks: mpsc::Receiver<QueuedChunk>,
    is_complete: Rc<Cell<bool>>,
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = StreamCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamCut>>> {
        Poll::Ready(match ready!(self.chunks.poll_recv(context)) {
            Some(chunk) => Some(Ok(Frame::data(chunk.bytes))),
            None if self.is_complete.get() => None,
            None => Some(Err(StreamCut)),
        })
    }
}
