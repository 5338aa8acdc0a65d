//! A change of the catalogue's list of backend servers.

use super::ListedServer;
use crate::ServerId;

/// A change of the catalogue's list of backend servers.
#[derive(Clone, Debug, PartialEq)]
pub enum ListingChange {
    /// The complete list. A backend server without a record in it has been removed.
    Snapshot(Vec<ListedServer>),
    /// A backend server was added, or its record changed.
    Upserted(ListedServer),
    /// A backend server's record was removed.
    Removed(ServerId),
    /// A backend server's record was replaced by one that cannot be decoded.
    Invalid(ServerId),
}
