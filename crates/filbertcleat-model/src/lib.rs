//! A small specification of the core protocol, explored exhaustively.
//!
//! The claims, leases and publications in it are the shipped state machines; the table service,
//! the engines and the pauses around them are the specification. Each rule can be broken by a
//! switch, which has to lead to a counterexample.

mod cell;
mod claims;
mod explore;
mod leases;
mod patches;
mod stops;

pub use cell::Cell;
pub use claims::ClaimRules;
pub use claims::ClaimWorld;
pub use explore::Explored;
pub use explore::World;
pub use explore::explore;
pub use leases::LeaseRules;
pub use leases::LeaseWorld;
pub use patches::PatchRules;
pub use patches::PatchWorld;
pub use stops::StopRules;
pub use stops::StopWorld;
