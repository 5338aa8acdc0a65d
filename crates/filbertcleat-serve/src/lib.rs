//! Decisions of the direct path, on which an entry sends requests to backend servers itself.
//!
//! - `deployment`: the operators' configuration of routes, services and limits
//! - `deployment_check`: checks a configuration before it comes into force
//! - `listing`: the catalogue's records of backend servers
//! - `update`: the updates that entries and agents send each other
//! - `observations`: what entries tell each other of the engines' speed
//! - `fleet`: the state of the backend servers as an entry knows it
//! - `return_delay`: when callers should return to paused backend servers
//! - `placement`: selects the backend server of a request
//! - `priority`: combines the priorities of a workspace and a route
//! - `prompt_turns`: decides when entries may send prompts to an engine
//! - `queue`: orders the requests that wait at an entry, with equal shares for workspaces, and
//!   dispatches them to engines
//! - `attempts`: decides whether a request may be sent again
//! - `budget`: limits the retries of an entry
//! - `crash_evidence`: finds requests and parts of prompts that crash backend servers
//! - `facts`: what processes learn from answers of backend servers and tell each other
//! - `kept_marks`: decides when marks of crashes are read from the catalogue and written there
//! - `kept_origins`: decides when origins of streams are read from the catalogue and written there
//! - `kept_routes`: decides what the catalogue keeps of the targets of routes
//! - `recipients`: decides when an agent sends updates to which entries
//! - `holders`: chooses the agents that hold what entries have to know from each other
//! - `stream_origins`: remembers which service and software version began a stream
//! - `moved_routes`: remembers which routes have led to other services
//! - `allowances`: limits what the requests of a workspace cost over all entries
//! - `workspaces`: customers with API keys, priorities and allowances
//! - `scheduler`: decides which load and unload orders an agent sends to its engine
//!
//! The functions in this crate get the time as an argument and do no I/O.

mod allowances;
mod attempts;
mod body_ledger;
mod budget;
mod caller_shares;
mod connection_choice;
mod crash_evidence;
mod deployment;
mod deployment_check;
mod epoch;
mod fact_time;
mod facts;
mod fleet;
mod holders;
mod kept_marks;
mod kept_origins;
mod kept_routes;
mod key;
mod listing;
mod moved_routes;
mod observations;
mod placement;
mod priority;
mod prompt_part;
mod prompt_prefix;
mod prompt_turns;
mod queue;
mod recent_streams;
mod recipients;
mod request;
mod request_content;
mod request_hash;
mod return_delay;
mod scheduler;
mod software_version;
mod stream_origins;
mod update;
mod workspaces;

pub use allowances::AllowanceBounds;
pub use allowances::AllowanceBuckets;
pub use allowances::AllowanceCharge;
pub use allowances::AllowanceDecision;
pub use allowances::AllowanceGrant;
pub use allowances::AllowanceLedger;
pub use allowances::AllowanceMessage;
pub use allowances::AllowanceMove;
pub use allowances::AllowanceRefusal;
pub use allowances::AllowanceRequest;
pub use allowances::AllowanceReturn;
pub use allowances::AllowanceTicket;
pub use allowances::BucketId;
pub use allowances::BucketLevel;
pub use allowances::BucketSpec;
pub use attempts::Attempts;
pub use attempts::FailedAttempt;
pub use attempts::NextAttempt;
pub use body_ledger::BodyId;
pub use body_ledger::BodyLedger;
pub use body_ledger::BodySource;
pub use body_ledger::NoRoom;
pub use budget::RetryBudget;
pub use caller_shares::CallerShares;
pub use connection_choice::ConnectionState;
pub use connection_choice::ConnectionUse;
pub use connection_choice::choose_connection;
pub use crash_evidence::AbandonedRuns;
pub use crash_evidence::CrashEvidence;
pub use crash_evidence::CrashId;
pub use crash_evidence::CrashMark;
pub use crash_evidence::CrashSuspect;
pub use crash_evidence::CrashVerdict;
pub use deployment::CallerLimits;
pub use deployment::CurrentDeployment;
pub use deployment::Deployment;
pub use deployment::DeploymentChange;
pub use deployment::DeploymentProblem;
pub use deployment::EngineSpec;
pub use deployment::ModelSpec;
pub use deployment::RetryPolicy;
pub use deployment::Route;
pub use deployment::ServiceSpec;
pub use deployment::Target;
pub use deployment_check::Difference;
pub use deployment_check::DifferenceKind;
pub use deployment_check::Finding;
pub use deployment_check::Place;
pub use deployment_check::Severity;
pub use deployment_check::check_deployment;
pub use deployment_check::deployment_differences;
pub use epoch::CatalogueEpoch;
pub use epoch::EpochChange;
pub use facts::Fact;
pub use facts::LeavingMark;
pub use facts::SharedFacts;
pub use fleet::AttemptOutcome;
pub use fleet::Fleet;
pub use fleet::LimitSource;
pub use fleet::NamedLimit;
pub use fleet::OutputEstimate;
pub use fleet::PrefillObservations;
pub use fleet::RequestLimit;
pub use fleet::RequestedPause;
pub use fleet::Server;
pub use holders::BucketAgents;
pub use holders::fact_holders;
pub use holders::origin_holders;
pub use kept_marks::KeepStep;
pub use kept_marks::KeptMarks;
pub use kept_marks::KeptRow;
pub use kept_origins::KeptOrigins;
pub use kept_origins::KeptStream;
pub use kept_origins::OriginRow;
pub use kept_origins::OriginRowContent;
pub use kept_origins::OriginVerdict;
pub use kept_origins::OriginWriteStep;
pub use kept_origins::OutdatedRow;
pub use kept_origins::SeenVersion;
pub use kept_routes::KeptRoute;
pub use kept_routes::KeptRoutes;
pub use kept_routes::RouteRow;
pub use kept_routes::RouteWriteStep;
pub use key::AdapterKey;
pub use key::ServerId;
pub use listing::ListedModel;
pub use listing::ListedServer;
pub use listing::ListingChange;
pub use moved_routes::MovedRoutes;
pub use observations::ObservationPool;
pub use observations::ServiceObservations;
pub use placement::Placement;
pub use placement::QueueWait;
pub use placement::engine_pause_end;
pub use placement::place_early_copy;
pub use placement::place_engine;
pub use placement::place_plain;
pub use placement::plain_pause_end;
pub use placement::plain_permit_wait_ms;
pub use priority::engine_priority;
pub use priority::entry_priority;
pub use prompt_part::PromptPart;
pub use prompt_prefix::PromptPrefix;
pub use prompt_turns::PromptTurn;
pub use prompt_turns::PromptTurnRequest;
pub use prompt_turns::PromptTurns;
pub use queue::EngineTime;
pub use queue::FairShares;
pub use queue::FlowId;
pub use queue::LateRequests;
pub use queue::RequestQueue;
pub use queue::RequestTimes;
pub use queue::SentRequest;
pub use queue::Ticket;
pub use queue::WaitCause;
pub use recipients::UpdateRecipients;
pub use request::RequestDemand;
pub use request_content::RequestContent;
pub use request_hash::RequestHash;
pub use return_delay::return_delay_ms;
pub use scheduler::AdapterScheduler;
pub use scheduler::EngineReport;
pub use scheduler::Order;
pub use scheduler::OrderKind;
pub use software_version::SoftwareVersion;
pub use stream_origins::StreamOrigin;
pub use stream_origins::StreamOrigins;
pub use update::AdapterDemand;
pub use update::AdapterStage;
pub use update::AgentUpdate;
pub use update::EntryUpdate;
pub use update::LoadedAdapter;
pub use update::ModelDemand;
pub use workspaces::Allowance;
pub use workspaces::AllowanceUnit;
pub use workspaces::KeyHash;
pub use workspaces::Workspace;
pub use workspaces::WorkspaceProblem;
pub use workspaces::WorkspaceProblemKind;
pub use workspaces::Workspaces;
