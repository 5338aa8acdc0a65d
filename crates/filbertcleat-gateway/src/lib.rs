//! Sockets, timers, logs and metrics of the direct path, on which entries forward requests to
//! backend servers themselves and agents order engines to load and unload adapters.
//!
//! All decisions are made by `filbertcleat-serve`; this crate does the input and output. What
//! differs between deployments is behind three traits: `Dialect` for HTTP headers, `Catalogue` for
//! the list of configurations and backend servers, and `EngineControl` for reports of and orders to
//! an engine.

mod agent;
mod catalogue;
mod clock;
mod control;
mod dialect;
mod engine_answer;
mod entry;
mod listen;
mod logs;
mod metrics;
mod notice;
mod panics;
mod pause_log;
mod peer_socket;
mod settings;
mod shutdown;
mod side_listener;

pub use agent::AgentListeners;
pub use agent::run_agent;
pub use catalogue::Catalogue;
pub use catalogue::CatalogueData;
pub use catalogue::CatalogueEvent;
pub use catalogue::CatalogueResponse;
pub use catalogue::KeepOutcome;
pub use catalogue::KeepResponse;
pub use catalogue::Topic;
pub use catalogue::WatchLimits;
pub use control::EngineControl;
pub use control::OrderResponse;
pub use dialect::ApiKey;
pub use dialect::AttemptCaller;
pub use dialect::AttemptMetadata;
pub use dialect::Dialect;
pub use dialect::RequestMetadata;
pub use dialect::ResponseMetadata;
pub use dialect::ServerIdentity;
pub use engine_answer::EngineAnswer;
pub use entry::EntryListeners;
pub use entry::run_entry;
pub use logs::LogDecision;
pub use logs::LogRateLimiter;
pub use logs::dropped_log_lines;
pub use logs::init_logging;
pub use metrics::AllowanceOutcome;
pub use metrics::METRICS;
pub use metrics::Metric;
pub use metrics::MetricsRegistry;
pub use metrics::OutcomeCounts;
pub use metrics::WorkspaceRow;
pub use metrics::WorkspaceUse;
pub use notice::ServerNotice;
pub use panics::log_panics;
pub use settings::CatalogueDelays;
pub use settings::GatewayRole;
pub use settings::GatewaySettings;
pub use settings::ParseSettings;
pub use settings::RetryBudgetSettings;
pub use settings::SettingsFile;
pub use shutdown::ShutdownSignal;
