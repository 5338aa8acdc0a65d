//! A model of the core protocol that is checked exhaustively.
//!
//! Claims, leases and patch publication run the production state machines; the table service, the
//! engines and the delays around them are modelled. Each rule of the protocol can be switched off,
//! and the search then has to find a counterexample.

mod claims;
mod explore;
mod leases;
mod patches;
mod stops;
mod table_row;

pub use claims::ClaimModel;
pub use claims::ClaimRules;
pub use explore::Exploration;
pub use explore::Model;
pub use explore::explore;
pub use leases::LeaseModel;
pub use leases::LeaseRules;
pub use patches::PatchModel;
pub use patches::PatchRules;
pub use stops::StopModel;
pub use stops::StopRules;
pub use table_row::TableRow;
