//! Protocols on top of the table service: leases, claims and the publication of patches.
//!
//! Each protocol is a state machine that requests one table operation at a time and receives its
//! result. So lost answers, races and pauses can be tested without a table service.

mod claim;
mod claim_completion;
mod lease;
mod ownership;
mod patch_publication;
mod table;

pub use claim::Claim;
pub use claim::ClaimRow;
pub use claim::ClaimState;
pub use claim::ClaimStep;
pub use claim_completion::ClaimCompletion;
pub use claim_completion::ClaimCompletionStep;
pub use lease::Lease;
pub use lease::LeaseRow;
pub use lease::LeaseSettings;
pub use lease::LeaseStep;
pub use ownership::Ownership;
pub use patch_publication::PatchPublication;
pub use patch_publication::PublicationStep;
pub use patch_publication::patch_key;
pub use table::Precondition;
pub use table::TableOp;
pub use table::TableResult;
