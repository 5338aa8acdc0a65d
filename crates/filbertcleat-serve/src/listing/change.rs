//! A change of the deployment's list.

use super::Listed;
use crate::ServerId;

/// A change of the deployment's list.
#[derive(Clone, Debug, PartialEq)]
pub enum ListingChange {
    /// The list as a whole; a backend server that it lacks is gone.
    Whole(Vec<Listed>),
    /// A backend server described itself anew.
    Put(Listed),
    /// A backend server's entry is gone.
    Gone(ServerId),
    /// An entry that names no usable backend server took the place of an earlier one.
    Spoilt(ServerId),
}
