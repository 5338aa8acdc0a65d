//! Counts the bytes that an entry holds for others.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// The bytes that an entry holds for its callers or for backend servers.
#[derive(Clone, Debug, Default)]
pub(super) struct ByteCount {
    shared: Rc<SharedCount>,
}

#[derive(Debug, Default)]
struct SharedCount {
    bytes: Cell<u64>,
    released: Notify,
}

impl ByteCount {
    /// Returns the number of bytes.
    pub fn get(&self) -> u64 {
        self.shared.bytes.get()
    }

    /// Returns a future that ends when bytes are released or `notify_waiters` is called.
    pub fn released(&self) -> Notified<'_> {
        self.shared.released.notified()
    }

    /// Wakes those who wait for bytes to be released.
    pub fn notify_waiters(&self) {
        self.shared.released.notify_waiters();
    }

    /// Counts bytes until the returned guard is dropped.
    pub fn hold(&self, bytes: usize) -> HeldBytes {
        let held = HeldBytes { count: self.clone(), bytes: Cell::new(0) };
        held.add(bytes);
        held
    }
}

/// Counts bytes until they are released or this guard is dropped.
#[derive(Debug)]
pub(super) struct HeldBytes {
    count: ByteCount,
    bytes: Cell<u64>,
}

impl HeldBytes {
    /// Returns the number of bytes.
    pub fn get(&self) -> u64 {
        self.bytes.get()
    }

    /// Counts more bytes.
    pub fn add(&self, bytes: usize) {
        self.set(self.bytes.get().saturating_add(bytes as u64));
    }

    /// Counts bytes no more, at most those that are counted.
    pub fn release(&self, bytes: usize) {
        self.set(self.bytes.get().saturating_sub(bytes as u64));
    }

    /// Counts none of the bytes any more.
    pub fn release_all(&self) {
        self.set(0);
    }

    fn set(&self, bytes: u64) {
        let before = self.bytes.replace(bytes);
        let shared = &self.count.shared;
        let others = shared.bytes.get().saturating_sub(before);
        shared.bytes.set(others.saturating_add(bytes));
        if bytes < before {
            shared.released.notify_waiters();
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.release_all();
    }
}
