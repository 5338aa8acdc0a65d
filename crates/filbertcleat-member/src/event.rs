//! What comes out of the membership.

use filbertcleat_base::ConfigVersion;
use filbertcleat_base::NodeName;

use crate::Digest;
use crate::MemberRecord;

/// A message to send.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingDigest {
    /// The process to send to, if its name is known.
    pub to: Option<NodeName>,
    /// Its address.
    pub address: String,
    /// The message.
    pub digest: Digest,
}

/// News for the rest of the process.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberEvent {
    /// A process's record has changed.
    Changed(Box<MemberRecord>),
    /// A peer knows a newer configuration version.
    NewerConfig {
        /// The version.
        version: ConfigVersion,
        /// The peer's address, if it is known.
        address: Option<String>,
    },
    /// A newer process has this one's name.
    Superseded,
}
