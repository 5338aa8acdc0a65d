//! Events of the catalogue.

use filbertcleat_serve::AdapterKey;
use filbertcleat_serve::Deployment;
use filbertcleat_serve::KeptRow;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::OriginRow;
use filbertcleat_serve::RouteRow;

/// A current entry of the catalogue, or a change of one.
#[derive(Clone, Debug, PartialEq)]
pub enum CatalogueEvent {
    /// A version of the configuration was published.
    Deployment(Deployment),
    /// A version of an adapter was published.
    AdapterVersion {
        /// The adapter.
        key: AdapterKey,
        /// The version.
        version: u64,
    },
    /// The list of backend servers changed.
    Listing(ListingChange),
    /// The row that keeps marks of crashes.
    Kept(KeptRow),
    /// The row that keeps the targets of routes.
    Routes(RouteRow),
    /// A row in which an entry keeps origins of streams.
    Origins(OriginRow),
}
