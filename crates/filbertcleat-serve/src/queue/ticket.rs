//! The position of a request in the queue.

/// The position of a request in the queue: by priority, then by arrival.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket {
    pub(super) priority: u8,
    pub(super) number: u64,
}
