//! The allowances of workspaces, which limit their requests over all entries together.
//!
//! The tokens of a workspace lie in buckets at agents. An entry asks for the tokens that a request
//! costs before it places the request. docs/design/allowances.md states why the sum over all
//! entries stays within the bound.

mod bounds;
mod bucket;
mod bucket_spec;
mod bucket_state;
mod buckets;
mod charge;
mod grant_window;
mod ledger;
mod message;
mod outbox;
mod recent_use;
mod returns;
mod workspace_ledger;

pub use self::bounds::AllowanceBounds;
pub use self::bucket_spec::BucketId;
pub use self::bucket_spec::BucketSpec;
pub use self::buckets::AllowanceBuckets;
pub use self::buckets::BucketLevel;
pub use self::charge::AllowanceCharge;
pub use self::charge::AllowanceDecision;
pub use self::charge::AllowanceRefusal;
pub use self::charge::AllowanceTicket;
pub use self::ledger::AllowanceLedger;
pub use self::message::AllowanceGrant;
pub use self::message::AllowanceMessage;
pub use self::message::AllowanceMove;
pub use self::message::AllowanceRequest;
pub use self::message::AllowanceReturn;
