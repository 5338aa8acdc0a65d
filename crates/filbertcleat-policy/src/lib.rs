//! Routing, queueing, adapter placement, load coordination, admission and retries as sans-I/O state
//! machines.
//!
//! Each state machine takes the current time and an input and returns actions. None of them has a
//! clock, a socket or a thread of its own, so that the daemon, the tests and the benchmark run the
//! same code.

mod admission;
mod agent;
mod attempt;
mod entry;
mod load_coordinator;
mod popularity;
mod refusal;
mod replica_report;
mod retry_budget;
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
pub use entry::CallerRequest;
pub use entry::ClaimOutcome;
pub use entry::Entry;
pub use entry::EntryAction;
pub use entry::EntryInput;
pub use entry::EntrySettings;
pub use entry::OutboundAttempt;
pub use load_coordinator::LoadCoordinator;
pub use load_coordinator::LoadGrant;
pub use load_coordinator::LoadRequest;
pub use popularity::Popularity;
pub use refusal::Refusal;
pub use replica_report::ReplicaReport;
pub use retry_budget::RetryBudget;
pub use router::Liveness;
pub use router::RouteChoice;
pub use router::RouteQuery;
pub use router::Router;
pub use target::Target;
