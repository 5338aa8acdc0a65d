//! The position that a stream has reached at its caller.

use super::event_order::EventOrder;
use super::events::Event;

/// The position that a stream has reached at its caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct StreamPosition {
    last: Option<u64>,
    numbering: Numbering,
    /// Whether an event with data and no id has followed the last one.
    has_unnumbered: bool,
}

/// How the ids of a stream rise.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Numbering {
    /// Too few events have been seen to tell.
    Unknown,
    /// By one. A first id of 1 counts as such.
    Consecutive,
    /// By more than one at some event.
    Sparse,
}

impl StreamPosition {
    /// Creates the position after the event with the id `last`, or before the first event.
    pub fn after(last: Option<u64>) -> Self {
        Self { last, numbering: Numbering::Unknown, has_unnumbered: false }
    }

    /// Returns the id of the last event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether the id of the last event names the position.
    pub fn is_named(&self) -> bool {
        !self.has_unnumbered
    }

    /// Returns the order of an event that comes next.
    pub fn order_of(&self, event: &Event) -> EventOrder {
        EventOrder::of(event, self.last)
    }

    /// Returns whether a backend server that sends this event first goes on where the stream is.
    pub fn is_continued_by(&self, event: &Event) -> bool {
        match self.order_of(event) {
            EventOrder::Next | EventOrder::Comment => true,
            EventOrder::Unnumbered => self.last.is_none(),
            EventOrder::Repeated => false,
            EventOrder::Skipping => self.numbering != Numbering::Consecutive,
        }
    }

    /// Records that the caller gets an event, which is not repeated.
    pub fn advance(&mut self, event: &Event) {
        let Some(id) = event.id else {
            self.has_unnumbered |= event.has_data;
            return;
        };
        self.numbering = match (self.numbering, self.order_of(event)) {
            (Numbering::Sparse, _) | (_, EventOrder::Skipping) => Numbering::Sparse,
            (Numbering::Unknown, _) if self.last.is_none() && id != 1 => Numbering::Unknown,
            (Numbering::Unknown | Numbering::Consecutive, _) => Numbering::Consecutive,
        };
        self.last = Some(id);
        self.has_unnumbered = false;
    }
}
