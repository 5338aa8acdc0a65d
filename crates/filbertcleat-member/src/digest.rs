//! The message of the exchange.

use filbertcleat_base::ConfigVersion;
use filbertcleat_base::NodeName;

use crate::MemberRecord;

/// What one process tells another.
#[derive(Clone, Debug, PartialEq)]
pub struct Digest {
    /// The sender.
    pub from: NodeName,
    /// The records that it passes on.
    pub records: Vec<MemberRecord>,
    /// The highest configuration version that it has seen.
    pub config_version: ConfigVersion,
    /// Whether it asks for all records.
    pub full: bool,
}
