//! The activity of a caller's connection.

use std::cell::Cell;
use std::rc::Rc;

use filbertcleat_base::MonoTime;
use filbertcleat_serve::BodyId;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::held_bytes::ByteCount;
use super::held_bytes::HeldBytes;
use super::receive_buffer::ReceiveBuffer;
use crate::clock::Clock;

/// The activity of a connection, which its time limits are checked against.
#[derive(Debug)]
pub(super) struct ConnectionActivity {
    clock: Clock,
    opened_at: MonoTime,
    requests: Cell<u32>,
    /// Requests that are being handled and responses that are being written.
    open_requests: Cell<u32>,
    /// Whether the end of a response waits in the buffer of the connection.
    is_flush_due: Cell<bool>,
    idle_since: Cell<MonoTime>,
    /// When the first bytes of the next request arrived, while its head is incomplete.
    head_since: Cell<Option<MonoTime>>,
    /// Whether the connection ends after the current response.
    is_ending: Cell<bool>,
    /// Whether a response was cut, and an orderly end of the connection would make it look whole.
    is_reset_due: Cell<bool>,
    /// Whether only the end of the connection marks the end of the current response.
    is_end_unmarked: Cell<bool>,
    /// What of responses is in the buffer of the connection.
    buffered: HeldBytes,
    /// Since when the socket has taken nothing of the buffer.
    write_blocked_since: Cell<Option<MonoTime>>,
    /// Whether a check has found that the caller has stopped reading.
    is_stall_suspected: Cell<bool>,
    responses: Cell<u32>,
    /// The body that is being read.
    arriving_body: Cell<Option<BodyId>>,
    /// Since when the caller is waited for to close the connection.
    ending_since: Cell<Option<MonoTime>>,
    is_replaced: Cell<bool>,
    /// Wakes the task of the connection when it has to make room for another.
    replaced: Notify,
}

impl ConnectionActivity {
    /// A caller that has read nothing of a response for this long has stopped reading: several times
    /// the pauses of callers that go on.
    const READER_STALL_MS: u64 = 10_000;

    /// Creates the activity of a connection that has just been accepted, whose buffer counts in
    /// `held`.
    pub fn new(clock: Clock, held: &ByteCount) -> Self {
        let now = clock.now();
        Self {
            clock,
            opened_at: now,
            requests: Cell::new(0),
            open_requests: Cell::new(0),
            is_flush_due: Cell::new(false),
            idle_since: Cell::new(now),
            head_since: Cell::new(None),
            is_ending: Cell::new(false),
            is_reset_due: Cell::new(false),
            is_end_unmarked: Cell::new(false),
            buffered: held.hold(0),
            write_blocked_since: Cell::new(None),
            is_stall_suspected: Cell::new(false),
            responses: Cell::new(0),
            arriving_body: Cell::new(None),
            ending_since: Cell::new(None),
            is_replaced: Cell::new(false),
            replaced: Notify::new(),
        }
    }

    fn begin_request(&self) {
        self.requests.set(self.requests.get() + 1);
        self.open_requests.set(self.open_requests.get() + 1);
        self.head_since.set(None);
    }

    fn end_request(&self) {
        self.open_requests.set(self.open_requests.get().saturating_sub(1));
        self.idle_since.set(self.clock.now());
    }

    /// Records that a request will be responded to.
    pub fn begin_response(&self) {
        self.open_requests.set(self.open_requests.get() + 1);
    }

    /// Records that the whole response is in the buffer of the connection.
    pub fn end_response(&self) {
        self.is_flush_due.set(true);
        self.responses.set(self.responses.get().saturating_add(1));
        self.end_request();
    }

    /// Records that bytes of a response are in the buffer of the connection.
    pub fn on_buffered(&self, bytes: usize) {
        self.buffered.add(bytes);
    }

    /// Records that the socket has taken bytes from the buffer of the connection.
    pub fn on_written(&self, bytes: usize) {
        self.buffered.release(bytes);
        self.write_blocked_since.set(None);
        self.is_stall_suspected.set(false);
    }

    /// Records that the socket takes nothing, because the caller reads slowly.
    pub fn on_write_blocked(&self) {
        if self.write_blocked_since.get().is_none() {
            self.write_blocked_since.set(Some(self.clock.now()));
        }
    }

    /// Returns whether the caller has stopped reading. It takes two checks, since after a pause of
    /// this process the first one comes before the runtime knows what the caller has read.
    pub fn check_reader_stall(&self, now: MonoTime) -> bool {
        let blocked_since = self.write_blocked_since.get();
        let is_stalled =
            blocked_since.is_some_and(|since| now.ms_since(since) > Self::READER_STALL_MS);
        self.is_stall_suspected.replace(is_stalled) && is_stalled
    }

    /// Returns what of responses is in the buffer of the connection.
    pub fn buffered_bytes(&self) -> u64 {
        self.buffered.get()
    }

    /// Records that the socket has taken all that was in the buffer of the connection, and returns
    /// whether that was the rest of a response whose end only that of the connection marks.
    pub fn on_flush(&self) -> bool {
        self.buffered.release_all();
        if !self.is_flush_due.replace(false) {
            return false;
        }
        self.idle_since.set(self.clock.now());
        self.is_end_unmarked.replace(false) && !self.is_reset_due.get()
    }

    /// Records that only the end of the connection marks the end of the current response.
    pub fn end_unmarked(&self) {
        self.is_end_unmarked.set(true);
    }

    /// Records that the connection ends after the current response.
    pub fn end_after_response(&self) {
        self.is_ending.set(true);
    }

    /// Records that a response was cut whose end only the connection shows.
    pub fn reset_after_cut(&self) {
        self.is_reset_due.set(true);
    }

    /// Returns whether the connection has to be reset, as an orderly end would complete a response
    /// that was cut.
    pub fn is_reset_due(&self) -> bool {
        self.is_reset_due.get()
    }

    /// Records that bytes have arrived.
    pub fn on_read(&self) {
        if !self.is_busy() && self.head_since.get().is_none() {
            self.head_since.set(Some(self.clock.now()));
        }
    }

    /// Returns whether no request is open and no byte of the next one has arrived.
    pub fn is_quiet(&self) -> bool {
        !self.is_busy() && self.head_since.get().is_none()
    }

    /// Returns whether the head of the next request did not arrive in time.
    pub fn is_head_overdue(&self, now: MonoTime, header_timeout_ms: u64) -> bool {
        !self.is_busy()
            && self.head_since.get().is_some_and(|since| now.ms_since(since) > header_timeout_ms)
    }

    /// Returns whether a request is being handled, its response is being written, or the rest of
    /// its body follows.
    fn is_busy(&self) -> bool {
        self.open_requests.get() > 0 || self.is_flush_due.get() || self.is_ending.get()
    }

    /// Records which body is being read, if one is.
    pub fn set_arriving_body(&self, body: Option<BodyId>) {
        self.arriving_body.set(body);
    }

    /// Returns the body that is being read.
    pub fn arriving_body(&self) -> Option<BodyId> {
        self.arriving_body.get()
    }

    /// Records that the caller is waited for to close the connection.
    pub fn begin_ending(&self) {
        self.ending_since.set(Some(self.clock.now()));
    }

    /// Returns since when the caller is waited for to close the connection.
    pub fn ending_since(&self) -> Option<MonoTime> {
        self.ending_since.get()
    }

    /// Returns since when the first request, or the rest of a head, is awaited.
    pub fn awaited_since(&self) -> Option<MonoTime> {
        if self.is_busy() {
            return None;
        }
        self.head_since.get().or_else(|| (self.requests.get() == 0).then_some(self.opened_at))
    }

    /// Returns whether a request has had its response.
    pub fn has_responded(&self) -> bool {
        self.responses.get() > 0
    }

    /// Has the connection make room for another one.
    pub fn replace(&self) {
        self.is_replaced.set(true);
        self.replaced.notify_one();
    }

    /// Returns whether the connection has to make room for another one.
    pub fn is_replaced(&self) -> bool {
        self.is_replaced.get()
    }

    /// Waits until the connection has to make room for another one.
    pub async fn replaced(&self) {
        self.replaced.notified().await;
    }

    /// Returns how many requests arrived.
    pub fn requests(&self) -> u32 {
        self.requests.get()
    }

    /// Returns the time since the connection was accepted.
    pub fn open_ms(&self, now: MonoTime) -> u64 {
        now.ms_since(self.opened_at)
    }

    /// Returns when the last request ended.
    pub fn idle_since(&self) -> MonoTime {
        self.idle_since.get()
    }
}

/// Marks its connection as busy until the request has been handled.
#[derive(Debug)]
pub(super) struct ActiveRequest {
    activity: Rc<ConnectionActivity>,
    receive_buffer: ReceiveBuffer,
}

impl ActiveRequest {
    /// Records that the head of a request has been read.
    pub fn begin(activity: &Rc<ConnectionActivity>, stream: &Rc<TcpStream>) -> Self {
        activity.begin_request();
        Self { activity: Rc::clone(activity), receive_buffer: ReceiveBuffer::new(stream) }
    }

    /// Returns the kernel's buffer for the request's connection.
    pub fn receive_buffer(&self) -> &ReceiveBuffer {
        &self.receive_buffer
    }

    /// Returns the activity of the request's connection.
    pub fn activity(&self) -> &Rc<ConnectionActivity> {
        &self.activity
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.activity.end_request();
    }
}
