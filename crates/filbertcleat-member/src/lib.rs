//! Gossip membership with failure detection, in the style of SWIM.
//!
//! Every process maintains a record of itself that only it updates. Periodic exchanges with random
//! peers spread the newest records. The size of a message is bounded, so that the traffic per
//! process does not depend on the size of the cluster.

mod digest;
mod event;
mod membership;
mod peer;
mod record;
mod settings;
mod state;

pub use digest::Digest;
pub use digest::OutgoingDigest;
pub use event::MemberEvent;

pub use membership::Membership;
pub use record::MemberRecord;
pub use settings::MemberSettings;
pub use state::MemberState;
