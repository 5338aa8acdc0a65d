//! Membership and the exchange between processes.
//!
//! Every process holds a record of itself that it alone writes. The exchange spreads the newest
//! records, a few at a time and always about as many bytes, whatever the size of the system.

mod digest;
mod event;
mod membership;
mod record;
mod rumor;
mod settings;
mod state;

pub use digest::Digest;
pub use event::MemberEvent;
pub use event::OutgoingDigest;
pub use membership::Membership;
pub use record::MemberRecord;
pub use settings::MemberSettings;
pub use state::MemberState;
