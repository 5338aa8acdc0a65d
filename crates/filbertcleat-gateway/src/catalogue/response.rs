//! Responses of the catalogue.

use super::event::CatalogueEvent;

/// The response of the catalogue to a list or watch call.
#[derive(Clone, Debug, PartialEq)]
pub enum CatalogueResponse {
    /// The current entries of the topic, or the changes after the cursor.
    Events {
        /// The events, in order.
        events: Vec<CatalogueEvent>,
        /// The cursor for the next watch call.
        cursor: u64,
    },
    /// The changes after the cursor are no longer available; the topic has to be listed again.
    CursorExpired,
}
