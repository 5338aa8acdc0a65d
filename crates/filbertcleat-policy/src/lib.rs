//! The state machines that decide: routing, queueing, slots, load turns and retries.
//!
//! Each takes the time and an input, and returns actions. None has a clock, a socket or a
//! thread of its own, so the daemon, the tests and the bench drive the same code.

mod admission;
mod agent;
mod attempt;
mod budget;
mod entry;
mod keeper;
mod popularity;
mod refusal;
mod report;
mod router;
mod target;

pub use admission::Admission;
pub use agent::Agent;
pub use agent::AgentAction;
pub use agent::AgentInput;
pub use agent::AgentSettings;
pub use agent::AttemptRequest;
pub use agent::EngineState;
pub use agent::LoadedAdapter;
pub use agent::Priority;
pub use attempt::AttemptEvent;
pub use attempt::AttemptEventKind;
pub use attempt::RefuseReason;
pub use budget::RetryBudget;
pub use entry::CallerRequest;
pub use entry::ClaimOutcome;
pub use entry::Entry;
pub use entry::EntryAction;
pub use entry::EntryInput;
pub use entry::EntrySettings;
pub use entry::OutboundAttempt;
pub use keeper::LoadCoordinator;
pub use keeper::LoadGrant;
pub use keeper::LoadRequest;
pub use popularity::Popularity;
pub use refusal::Refusal;
pub use report::ReplicaReport;
pub use router::Liveness;
pub use router::RouteChoice;
pub use router::RouteQuery;
pub use router::Router;
pub use target::Target;
