//! The direct path: entries that speak with backend servers, and agents that order adapters.
//!
//! The decisions are those of `filbertcleat-serve`; this crate moves bytes and keeps time. What
//! differs between deployments stands behind three traits: `Dialect` for headers, `Catalogue` for
//! the list of configurations and backend servers, and `EngineControl` for an engine's orders.

mod agent;
mod catalogue;
mod clock;
mod control;
mod dialect;
mod entry;
mod exchange;
mod listen;
mod logs;
mod metrics;
mod settings;
mod stop;

pub use agent::AgentListeners;
pub use agent::run_agent;
pub use catalogue::Catalogue;
pub use catalogue::CatalogueEvent;
pub use catalogue::CatalogueResponse;
pub use catalogue::Topic;
pub use control::EngineControl;
pub use control::OrderResponse;
pub use dialect::AttemptMetadata;
pub use dialect::Dialect;
pub use dialect::RequestMetadata;
pub use dialect::ResponseMetadata;
pub use entry::EntryListeners;
pub use entry::run_entry;
pub use logs::LogDecision;
pub use logs::LogRateLimiter;
pub use logs::dropped_log_lines;
pub use logs::init_logging;
pub use metrics::METRICS;
pub use metrics::Metric;
pub use metrics::MetricsRegistry;
pub use settings::GatewayRole;
pub use settings::GatewaySettings;
pub use settings::ParseSettings;
pub use settings::RetryBudgetSettings;
pub use settings::SettingsFile;
pub use stop::ShutdownSignal;
