//! Decisions of the direct path, in which an entry speaks with backend servers itself.
//!
//! - `deployment`: the operators' configuration in force
//! - `fleet`: what an entry believes of the backend servers
//! - `place`: which backend server a request is sent to
//! - `queue`: which requests wait at an entry, and in which order they leave
//! - `tries`: whether a request may be sent once more
//! - `budget`: how many repeats an entry may send
//! - `audience`: which entries an agent speaks to, and when
//! - `shelf`: which adapters the agent beside an engine orders
//!
//! Everything here is given the time and does no input or output.

mod audience;
mod budget;
mod deployment;
mod fleet;
mod key;
mod listing;
mod news;
mod place;
mod queue;
mod request;
mod shelf;
mod tries;

pub use audience::UpdateRecipients;
pub use budget::RetryBudget;
pub use deployment::CallerLimits;
pub use deployment::Deployment;
pub use deployment::EngineSpec;
pub use deployment::ModelSpec;
pub use deployment::RetryPolicy;
pub use deployment::Route;
pub use deployment::ServiceSpec;
pub use deployment::Target;
pub use fleet::Fleet;
pub use fleet::SendOutcome;
pub use fleet::Server;
pub use key::AdapterKey;
pub use key::ServerId;
pub use listing::ListedModel;
pub use listing::ListedServer;
pub use listing::ListingChange;
pub use news::AdapterDemand;
pub use news::AdapterStage;
pub use news::AgentUpdate;
pub use news::EntryUpdate;
pub use news::LoadedAdapter;
pub use news::ModelDemand;
pub use place::Placement;
pub use place::QueueWait;
pub use place::place_engine;
pub use place::place_plain;
pub use queue::RequestQueue;
pub use queue::Ticket;
pub use queue::WaitCause;
pub use request::RequestDemand;
pub use shelf::AdapterScheduler;
pub use shelf::EngineReport;
pub use shelf::Order;
pub use shelf::OrderKind;
pub use tries::Attempts;
pub use tries::FailedAttempt;
pub use tries::NextAttempt;
