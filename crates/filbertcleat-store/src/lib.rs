//! What must last: leases, claims and the configuration's chain of patches.
//!
//! Each is a state machine that asks for one table operation at a time and is told its result,
//! so that lost answers, races and pauses can be tried without a table service.

mod claim;
mod lease;
mod ownership;
mod publish;
mod settle;
mod table;

pub use claim::Claim;
pub use claim::ClaimRow;
pub use claim::ClaimState;
pub use claim::ClaimStep;
pub use lease::Lease;
pub use lease::LeaseRow;
pub use lease::LeaseSettings;
pub use lease::LeaseStep;
pub use ownership::Ownership;
pub use publish::PatchPublication;
pub use publish::PublicationStep;
pub use publish::patch_key;
pub use settle::ClaimCompletion;
pub use settle::ClaimCompletionStep;
pub use table::Precondition;
pub use table::TableOp;
pub use table::TableResult;
