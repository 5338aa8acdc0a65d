//! The settings of one process of the direct path.

mod retry_budget;
mod role;
mod settings_file;

use std::net::IpAddr;
use std::net::SocketAddr;

use filbertcleat_base::NodeName;
use filbertcleat_base::PlaceName;

pub use self::retry_budget::RetryBudgetSettings;
pub use self::role::GatewayRole;
pub use self::settings_file::ParseSettings;
pub use self::settings_file::SettingsFile;

/// The settings of one process of the direct path.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// The process's name, unique in the deployment.
    pub name: NodeName,
    /// Its failure domain.
    pub domain: PlaceName,
    /// What it does.
    pub role: GatewayRole,
    /// The address of its VM.
    pub ip: IpAddr,
    /// The port for datagrams between processes, the same on all VMs.
    pub peer_port: u16,
    /// Where the list of configurations and backend servers is read.
    pub catalogue: SocketAddr,
    /// The time from the signal to end until the process is killed.
    pub grace_ms: u64,
    /// The repeats that all entries together may send to a service.
    pub retry_budget: RetryBudgetSettings,
}
