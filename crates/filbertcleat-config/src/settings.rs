//! Process settings.

mod async_requests;
mod backend;
mod callers;
mod drain;
mod log;
mod metrics;
mod operators;
mod parse;
mod peers;
mod platform;
mod role;

use std::fs;
use std::path::Path;

use filbertcleat_base::FailureDomain;
use filbertcleat_base::NodeName;
use filbertcleat_base::RegionName;
use serde::Deserialize;
use serde::Serialize;

pub use self::async_requests::AsyncSettings;
pub use self::backend::BackendKind;
pub use self::backend::BackendSettings;
pub use self::callers::CallerSettings;
pub use self::drain::DrainSettings;
pub use self::log::LogSettings;
pub use self::metrics::MetricsSettings;

pub use self::operators::OperatorSettings;
pub use self::operators::TokenSource;
pub use self::peers::PeerSettings;
pub use self::platform::PlatformSettings;
pub use self::role::Role;
use crate::Problem;
use crate::SettingsError;

/// The settings of one process, which are read once at startup.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Settings {
    /// Whether the process is an entry or an agent.
    pub role: Role,
    /// The process's name, unique in the cluster.
    pub name: NodeName,
    /// The region of the process's VM.
    pub region: RegionName,
    /// The failure domain of the process's VM.
    #[serde(rename = "place")]
    pub failure_domain: FailureDomain,
    /// The communication with other processes.
    pub peers: PeerSettings,
    /// The addresses of the platform's services.
    pub platform: PlatformSettings,
    /// The endpoint for callers; required for entries only.
    #[serde(default)]
    pub callers: Option<CallerSettings>,
    /// The endpoint for operators; required for entries only.
    #[serde(default)]
    pub operators: Option<OperatorSettings>,
    /// The agent's backend server; required for agents only.
    #[serde(default)]
    pub backend: Option<BackendSettings>,
    /// The processing of asynchronous requests.
    #[serde(default, rename = "nightly")]
    pub async_requests: AsyncSettings,
    /// The graceful shutdown.
    #[serde(default)]
    pub drain: DrainSettings,
    /// The log output.
    #[serde(default)]
    pub log: LogSettings,
    /// The metrics output.
    #[serde(default)]
    pub metrics: MetricsSettings,
}

impl Settings {
    /// Reads and validates a settings file; the error lists all its problems.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        let settings_error = |problems| SettingsError { file: file.to_owned(), problems };
        let text = fs::read_to_string(file).map_err(|error| {
            let hint = "specify an existing, readable file";
            settings_error(vec![Problem::new(".", error.to_string(), hint)])
        })?;

        Self::parse(&text).map_err(settings_error)
    }

    /// Parses and validates settings from YAML; the error lists all problems.
    pub fn parse(yaml: &str) -> Result<Self, Vec<Problem>> {
        parse::parse(yaml)
    }
}
