//! What became of a configuration that the catalogue named.

/// What became of a configuration that the catalogue named.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeploymentChange {
    /// The configuration is in force now.
    Applied,
    /// The configuration is in force already, or is not later than the one in force.
    Ignored,
    /// The configuration may be later than the one in force; later reads decide.
    Undecided,
}
