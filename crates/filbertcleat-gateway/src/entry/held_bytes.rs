//! Counts the bytes that an entry holds for others.

use std::cell::Cell;
use std::rc::Rc;

/// The bytes that an entry holds for its callers or for backend servers.
#[derive(Clone, Debug, Default)]
pub(super) struct ByteCount {
    bytes: Rc<Cell<u64>>,
}

impl ByteCount {
    /// Returns the number of bytes.
    pub fn get(&self) -> u64 {
        self.bytes.get()
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
        let others = self.count.bytes.get().saturating_sub(before);
        self.count.bytes.set(others.saturating_add(bytes));
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.release_all();
    }
}
