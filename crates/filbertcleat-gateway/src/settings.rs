//! The settings of a process of the direct path.

mod catalogue_delays;
mod retry_budget;
mod role;
mod settings_file;

use std::net::IpAddr;
use std::net::SocketAddr;

use filbertcleat_base::FailureDomain;
use filbertcleat_base::NodeName;
use filbertcleat_serve::AllowanceBounds;

pub use self::catalogue_delays::CatalogueDelays;
pub use self::retry_budget::RetryBudgetSettings;
pub use self::role::GatewayRole;
pub use self::settings_file::ParseSettings;
pub use self::settings_file::SettingsFile;
use crate::clock::unix_ms;

/// The settings of a process of the direct path.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// The name of the process, unique in the deployment.
    pub name: NodeName,
    /// The failure domain of its VM.
    pub failure_domain: FailureDomain,
    /// Whether the process is an entry or an agent.
    pub role: GatewayRole,
    /// The IP address of its VM.
    pub ip: IpAddr,
    /// The UDP port for updates between entries and agents, the same on all VMs.
    pub peer_port: u16,
    /// The address of the catalogue.
    pub catalogue_address: SocketAddr,
    /// The grace period from the termination signal until the process is killed.
    pub grace_ms: u64,
    /// The time within which a change of the configuration, or the leaving of a backend server, must
    /// have taken effect at every entry.
    pub catalogue_delays: CatalogueDelays,
    /// The retry budget that all entries share.
    pub retry_budget: RetryBudgetSettings,
    /// The bound on what workspaces may cost. Without it their allowances are not applied.
    pub allowance_bounds: Option<AllowanceBounds>,
    /// The most that the clocks of two machines may differ. A start of a server that lies further in
    /// the future is not believed.
    pub clock_difference_ms: u64,
    /// Whether the whole deployment starts for the first time.
    pub is_first_start: bool,
    /// The memory of the process in MB. Without it, what callers make the process hold is not
    /// bounded.
    pub memory_max_mb: Option<u64>,
    /// The sockets of the process. Without them, the connections of callers are bounded by the memory
    /// alone.
    pub sockets_max: Option<usize>,
}

impl GatewaySettings {
    /// Returns the latest time at which a server may have started, by the clock of this machine.
    pub(crate) fn start_max_unix_ms(&self) -> u64 {
        unix_ms().saturating_add(self.clock_difference_ms)
    }
}
