//! Membership events.

use filbertcleat_base::ConfigVersion;

use crate::MemberRecord;

/// A membership change that the rest of the process reacts to.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberEvent {
    /// The record of a peer has changed.
    Changed(Box<MemberRecord>),
    /// A peer has a newer configuration version.
    NewerConfig {
        /// The newer version.
        version: ConfigVersion,
        /// The peer's address, if it is known.
        address: Option<String>,
    },
    /// A newer incarnation with this process's name has started.
    Superseded,
}
