//! Rows of the catalogue in which entries keep origins of streams.

use filbertcleat_base::NodeName;
use filbertcleat_base::ServiceName;

use crate::RequestHash;
use crate::SoftwareVersion;

/// The row of the catalogue in which an entry keeps origins of streams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OriginRow {
    /// The node that writes the row.
    pub node: NodeName,
    /// The version that a write has to name; 0 if there is no row.
    pub version: u64,
    /// The content; `None` if it can't be read.
    pub content: Option<OriginRowContent>,
}

/// What an entry tells in its row.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OriginRowContent {
    /// The time since the row was written.
    pub age_ms: u64,
    /// The versions of services of which more than one served.
    pub versions: Vec<SeenVersion>,
    /// The streams that these versions began, the newest first.
    pub streams: Vec<KeptStream>,
}

/// A software version of a service that an entry has seen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeenVersion {
    /// The service.
    pub service: ServiceName,
    /// The software version.
    pub software_version: SoftwareVersion,
    /// The time since a backend server of the version was last listed.
    pub age_ms: u64,
}

/// A stream in a row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeptStream {
    /// The request that brought the first event.
    pub request: RequestHash,
    /// The index of the version that began the stream in the versions of the row.
    pub version_index: u8,
    /// The time since the first event.
    pub age_ms: u64,
}

/// A row that is too old to be of use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutdatedRow {
    /// The node that wrote the row.
    pub node: NodeName,
    /// The version of the row.
    pub version: u64,
}
