//! Process settings and the versioned cluster configuration.
//!
//! Settings belong to one process and are read from a file at startup. The configuration is a
//! single versioned document for the whole cluster that changes only through patches.

mod adapter;
mod change;
mod configuration;
mod limits;
mod objective_weights;
mod patch;
mod patch_error;
mod policy;
mod problem;
mod service;
mod settings;

pub use adapter::AdapterConfig;
pub use adapter::Canary;
pub use change::Change;
pub use configuration::Configuration;
pub use configuration::ResolveError;
pub use limits::Limits;
pub use objective_weights::ObjectiveWeights;
pub use patch::Patch;
pub use patch_error::PatchError;
pub use policy::EvictionPolicy;
pub use policy::LoadPermitPolicy;
pub use policy::Policy;
pub use policy::QueuePolicy;
pub use policy::RoutingPolicy;
pub use problem::Problem;
pub use problem::SettingsError;

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
