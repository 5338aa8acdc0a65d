//! The settings of one process of the direct path.

mod file;
mod grant;
mod role;

use std::net::IpAddr;
use std::net::SocketAddr;

use filbertcleat_base::FailureDomain;
use filbertcleat_base::NodeName;

pub use self::file::ParseSettings;
pub use self::file::SettingsFile;
pub use self::grant::RetryBudgetSettings;
pub use self::role::GatewayRole;

/// The settings of one process of the direct path.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// The process's name, unique in the deployment.
    pub name: NodeName,
    /// Its failure domain.
    pub domain: FailureDomain,
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
