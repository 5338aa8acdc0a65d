//! An item of a configuration that could not be decoded.

use crate::Place;

/// An item of a configuration that could not be decoded and is left out. It affects no other item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeploymentProblem {
    /// The item; a route or service without a name is called by its place in the list.
    pub place: Place,
    /// What is wrong.
    pub reason: String,
}
