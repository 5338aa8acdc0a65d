//! Bounds the memory that an entry uses for all callers who read slowly.

use std::cell::Cell;
use std::rc::Rc;

use super::backend_body::RESPONSE_MAX_BYTES;
use super::held_bytes::ByteCount;
use super::held_bytes::HeldBytes;

/// What each response may hold at the bound, so that short ones never wait for slow readers.
const RESPONSE_MIN_BYTES: u64 = 16 * 1024;

/// The bound on what an entry holds of responses until its callers have read them.
///
/// Events of a stream may be queued while the stream holds less than what is left of half of the
/// bound, so that the longest queues stop first. The other half is for streams whose callers have
/// read everything, and for responses that are read whole. What exceeds the bound waits, and
/// backpressure reaches the backend server.
#[derive(Clone, Debug)]
pub(super) struct CallerMemory {
    held: ByteCount,
    /// The bound, if the memory of the process is limited.
    max_bytes: Option<u64>,
    has_overdraft: Rc<Cell<bool>>,
}

impl CallerMemory {
    /// Creates the bound for responses that may take `max_bytes` together, if that is limited.
    pub fn new(max_bytes: Option<u64>) -> Self {
        Self {
            held: ByteCount::default(),
            // A process has to hold at least one response.
            max_bytes: max_bytes.map(|bytes| bytes.max(RESPONSE_MAX_BYTES as u64)),
            has_overdraft: Rc::default(),
        }
    }

    /// Returns the count of what is held.
    pub fn held(&self) -> &ByteCount {
        &self.held
    }

    /// Waits until there is room for an event of a stream, whose caller's unread bytes `own_bytes`
    /// returns, and counts the event.
    pub async fn hold_event(&self, bytes: usize, own_bytes: impl Fn() -> u64) -> HeldBytes {
        loop {
            let released = self.held.released();
            if self.has_event_room(own_bytes(), bytes as u64) {
                return self.held.hold(bytes);
            }
            released.await;
        }
    }

    /// Begins to count a response that is read whole.
    pub fn begin_body(&self) -> BodyBytes {
        BodyBytes { held: self.held.hold(0), memory: self.clone(), overdraft: None }
    }

    fn has_event_room(&self, own_bytes: u64, bytes: u64) -> bool {
        let Some(max_bytes) = self.max_bytes else { return true };
        let held = self.held.get().saturating_add(bytes);
        let own_bytes_after = own_bytes.saturating_add(bytes);
        if own_bytes_after <= RESPONSE_MIN_BYTES {
            true
        } else if own_bytes == 0 {
            held <= max_bytes
        } else {
            own_bytes_after <= (max_bytes / 2).saturating_sub(held)
        }
    }
}

/// What is held of a response while it is read.
#[derive(Debug)]
pub(super) struct BodyBytes {
    held: HeldBytes,
    memory: CallerMemory,
    overdraft: Option<Overdraft>,
}

impl BodyBytes {
    /// Waits until there is room for more bytes of the response, and counts them.
    pub async fn hold(&mut self, bytes: usize) {
        let count = self.memory.held.clone();
        loop {
            let released = count.released();
            if self.has_room(bytes as u64) {
                self.held.add(bytes);
                return;
            }
            released.await;
        }
    }

    /// Ends the response. It counts until the returned guard is dropped.
    pub fn finish(self) -> HeldBytes {
        self.held
    }

    /// Returns whether there is room for more bytes. One response may exceed the bound at a time;
    /// otherwise responses that are partly read could wait for each other.
    fn has_room(&mut self, bytes: u64) -> bool {
        let Some(max_bytes) = self.memory.max_bytes else { return true };
        let held = self.memory.held.get();
        let is_short = self.held.get().saturating_add(bytes) <= RESPONSE_MIN_BYTES;
        if is_short || held.saturating_add(bytes) <= max_bytes || self.overdraft.is_some() {
            return true;
        }
        if held <= max_bytes && !self.memory.has_overdraft.replace(true) {
            self.overdraft = Some(Overdraft { memory: self.memory.clone() });
        }
        self.overdraft.is_some()
    }
}

/// Lets one response exceed the bound until it is dropped.
#[derive(Debug)]
struct Overdraft {
    memory: CallerMemory,
}

impl Drop for Overdraft {
    fn drop(&mut self) {
        self.memory.has_overdraft.set(false);
        self.memory.held.notify_waiters();
    }
}
