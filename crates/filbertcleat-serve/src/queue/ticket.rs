//! A request's place in the queue.

/// A request's place in the queue: by urgency, then by arrival.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket {
    pub(super) priority: u8,
    pub(super) number: u64,
}
