//! The bytes that a backend server may still send on a connection.

use std::cell::Cell;
use std::rc::Rc;

/// The bytes that may still be read from a connection, which fails once they are used up.
///
/// The HTTP library skips informational heads, empty lines and the framing of chunks without
/// reporting them, so that a peer which sends only those would be read until the deadline.
#[derive(Clone, Debug)]
pub(super) struct ReadAllowance {
    remaining_bytes: Rc<Cell<usize>>,
}

impl ReadAllowance {
    /// Creates the allowance for a response head.
    pub fn for_head() -> Self {
        Self { remaining_bytes: Rc::new(Cell::new(HEAD_MAX_BYTES)) }
    }

    /// Replaces what is left by the allowance for a response head.
    pub fn grant_head(&self) {
        self.remaining_bytes.set(HEAD_MAX_BYTES);
    }

    /// Replaces what is left by `bytes`.
    pub fn grant(&self, bytes: usize) {
        self.remaining_bytes.set(bytes);
    }

    /// Counts bytes that were read.
    pub fn use_up(&self, bytes: usize) {
        self.remaining_bytes.set(self.remaining_bytes.get().saturating_sub(bytes));
    }

    /// Returns whether no more bytes may be read.
    pub fn is_used_up(&self) -> bool {
        self.remaining_bytes.get() == 0
    }
}

/// The most bytes read before a response head is complete. The HTTP library reads at most 408 KiB
/// at once, and reads the first piece of the body before the head has been handled.
const HEAD_MAX_BYTES: usize = 1024 * 1024;
