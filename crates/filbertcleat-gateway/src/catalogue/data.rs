//! The data of the catalogue's responses.

use super::event::CatalogueEvent;

/// The data of the catalogue's response to a list or watch call.
#[derive(Clone, Debug, PartialEq)]
pub enum CatalogueData {
    /// The current entries of the topic, or the changes after the cursor.
    Events {
        /// The events, in order.
        events: Vec<CatalogueEvent>,
        /// The cursor for the next watch call in the same epoch.
        cursor: u64,
        /// The size of the response, of all its pages for a list.
        size_bytes: usize,
    },
    /// The changes after the cursor are no longer available; the topic has to be listed again.
    CursorExpired,
    /// The changes after the cursor take more than the limit of the call; the topic has to be listed.
    Oversized,
}
