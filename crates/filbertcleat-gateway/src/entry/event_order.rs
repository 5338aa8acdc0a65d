//! The order of an event after those that its caller has.

use super::events::Event;

/// The order of an event after those that its caller has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EventOrder {
    /// The event has the next id, or the first one.
    Next,
    /// Ids between those of the last event and this one have not been seen.
    Skipping,
    /// The caller has an event with this id or a later one.
    Repeated,
    /// The event has data and no id.
    Unnumbered,
    /// The event has neither data nor an id.
    Comment,
}

impl EventOrder {
    /// Returns the order of an event after the one with the id `last`.
    pub fn of(event: &Event, last: Option<u64>) -> Self {
        match (event.id, last) {
            (None, _) if event.has_data => Self::Unnumbered,
            (None, _) => Self::Comment,
            (Some(_), None) => Self::Next,
            (Some(id), Some(last)) if id <= last => Self::Repeated,
            (Some(id), Some(last)) if id - last == 1 => Self::Next,
            (Some(_), Some(_)) => Self::Skipping,
        }
    }

    /// Returns the tag value for metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Next => "next",
            Self::Skipping => "skipping",
            Self::Repeated => "repeated",
            Self::Unnumbered => "unnumbered",
            Self::Comment => "comment",
        }
    }
}
