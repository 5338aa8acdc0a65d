//! How soon changes in the catalogue must have taken effect.

/// How soon changes in the catalogue must have taken effect at every entry.
///
/// Each call to the catalogue is paid for by every entry, so that a large deployment, which allows
/// more time, is polled less often.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CatalogueDelays {
    /// The time until a change of the configuration must be in force.
    pub configuration_ms: u64,
    /// The time until a draining backend server must get no more requests.
    pub draining_ms: u64,
    /// The time without contact to the catalogue after which a process counts as out of touch.
    pub contact_ms: u64,
}
