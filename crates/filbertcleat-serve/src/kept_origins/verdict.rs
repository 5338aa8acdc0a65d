//! Where a stream may go on whose origin neither the entry nor the agents know.

use filbertcleat_base::ServiceName;

use crate::SoftwareVersion;

/// Where a stream may go on whose origin neither the entry nor the agents know.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OriginVerdict {
    /// At the service and version that a row of the catalogue names.
    Kept(ServiceName, SoftwareVersion),
    /// At the only version that served in the last minute.
    Single(SoftwareVersion),
    /// It can be told only after the list of backend servers has been read again.
    Follow,
    /// It can be told only after the rows of the catalogue have been read.
    Read,
    /// Nowhere, since several versions may have begun it.
    Unknown,
}
