//! Settings files and the numbered configuration.
//!
//! Settings belong to one process and are read at its start. The configuration is one document
//! for the whole system, which changes only by patches.

mod adapter;
mod change;
mod configuration;
mod limits;
mod patch;
mod policy;
mod problem;
mod refusal;
mod service;
mod settings;
mod weights;

pub use adapter::AdapterConfig;
pub use adapter::Canary;
pub use change::Change;
pub use configuration::Configuration;
pub use configuration::ResolveError;
pub use limits::Limits;
pub use patch::Patch;
pub use policy::EvictionPolicy;
pub use policy::LoadPermitPolicy;
pub use policy::Policy;
pub use policy::QueuePolicy;
pub use policy::RoutingPolicy;
pub use problem::Problem;
pub use problem::SettingsError;
pub use refusal::PatchError;
pub use service::ServiceConfig;
pub use service::ServiceKind;
pub use settings::AsyncSettings;
pub use settings::BackendKind;
pub use settings::BackendSettings;
pub use settings::CallerSettings;
pub use settings::DrainSettings;
pub use settings::LogSettings;
pub use settings::MetricsSettings;
pub use settings::OperatorSettings;
pub use settings::PeerSettings;
pub use settings::PlatformSettings;
pub use settings::Role;
pub use settings::Settings;
pub use settings::TokenSource;
pub use weights::ObjectiveWeights;
