//! The settings of one process.

mod backend;
mod callers;
mod check;
mod drain;
mod log;
mod metrics;
mod nightly;
mod operators;
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

pub use self::backend::BackendKind;
pub use self::backend::BackendSettings;
pub use self::callers::CallerSettings;
pub use self::drain::DrainSettings;
pub use self::log::LogSettings;
pub use self::metrics::MetricsSettings;
pub use self::nightly::AsyncSettings;
pub use self::operators::OperatorSettings;
pub use self::operators::TokenSource;
pub use self::peers::PeerSettings;
pub use self::platform::PlatformSettings;
pub use self::role::Role;
use crate::Problem;
use crate::SettingsError;

/// The settings of one process, read once at its start.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Settings {
    /// Whether the process is an entry or an agent.
    pub role: Role,
    /// The process's name, unique in the system.
    pub name: NodeName,
    /// The region that it runs in.
    pub region: RegionName,
    /// The place that it runs in, which is its failure domain.
    #[serde(rename = "place")]
    pub failure_domain: FailureDomain,
    /// How it speaks with the other processes.
    pub peers: PeerSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// How callers reach an entry.
    #[serde(default)]
    pub callers: Option<CallerSettings>,
    /// How operators reach an entry.
    #[serde(default)]
    pub operators: Option<OperatorSettings>,
    /// The backend server beside an agent.
    #[serde(default)]
    pub backend: Option<BackendSettings>,
    /// Accepted work that is answered later.
    #[serde(default, rename = "nightly")]
    pub async_requests: AsyncSettings,
    /// How the process stops.
    #[serde(default)]
    pub drain: DrainSettings,
    /// Where logs go.
    #[serde(default)]
    pub log: LogSettings,
    /// Where metrics go.
    #[serde(default)]
    pub metrics: MetricsSettings,
}

impl Settings {
    /// Reads and checks a settings file, and reports all its problems.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        let settings_error = |problems| SettingsError { file: file.to_owned(), problems };
        let text = fs::read_to_string(file).map_err(|error| {
            let hint = "name a file that exists and can be read";
            settings_error(vec![Problem::new(".", error.to_string(), hint)])
        })?;

        Self::parse(&text).map_err(settings_error)
    }

    /// Reads and checks settings from YAML.
    pub fn parse(yaml: &str) -> Result<Self, Vec<Problem>> {
        check::parse(yaml)
    }
}
