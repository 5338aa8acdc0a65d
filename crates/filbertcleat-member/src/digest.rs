//! The messages of the gossip exchange.

use filbertcleat_base::ConfigVersion;
use filbertcleat_base::NodeName;

use crate::MemberRecord;

/// The membership records that one process sends to another.
#[derive(Clone, Debug, PartialEq)]
pub struct Digest {
    /// The name of the sender.
    pub from: NodeName,
    /// The records, starting with the sender's own.
    pub records: Vec<MemberRecord>,
    /// The configuration version of the sender.
    pub config_version: ConfigVersion,
    /// Whether the sender requests all records in the answer.
    pub full: bool,
}

/// A digest to send to a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingDigest {
    /// The name of the receiver, if it is known.
    pub to: Option<NodeName>,
    /// The address of the receiver.
    pub address: String,
    /// The digest to send.
    pub digest: Digest,
}
