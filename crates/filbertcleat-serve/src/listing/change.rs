//! A change of the deployment's list.

use super::ListedServer;
use crate::ServerId;

/// A change of the deployment's list.
#[derive(Clone, Debug, PartialEq)]
pub enum ListingChange {
    /// The list as a whole; a backend server that it lacks is gone.
    Snapshot(Vec<ListedServer>),
    /// A backend server described itself anew.
    Upserted(ListedServer),
    /// A backend server's entry is gone.
    Removed(ServerId),
    /// An entry that names no usable backend server took the place of an earlier one.
    Invalid(ServerId),
}
