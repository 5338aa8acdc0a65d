//! What a reading of the catalogue brought.

use filbertcleat_serve::AdapterKey;
use filbertcleat_serve::Deployment;
use filbertcleat_serve::ListingChange;

/// What a reading brought.
#[derive(Clone, Debug, PartialEq)]
pub enum CatalogueResponse {
    /// Facts in order, and the cursor to go on from.
    Events {
        /// The facts.
        events: Vec<CatalogueEvent>,
        /// Where to go on.
        cursor: u64,
    },
    /// The history after the cursor is gone; everything has to be read again.
    CursorExpired,
}

/// One fact.
#[derive(Clone, Debug, PartialEq)]
pub enum CatalogueEvent {
    /// A version of the configuration.
    Deployment(Deployment),
    /// A version of an adapter was named.
    AdapterVersion {
        /// The adapter.
        key: AdapterKey,
        /// The version.
        version: u64,
    },
    /// The list of backend servers changed.
    Listing(ListingChange),
}
