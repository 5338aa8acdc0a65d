//! The agents that hold what entries have to know from each other.

use std::net::IpAddr;
use std::net::SocketAddr;

use filbertcleat_serve::Fleet;

/// Returns the addresses of the agents that `choose` selects from the VMs of all engines.
pub(super) fn peer_addresses(
    fleet: &Fleet,
    port: u16,
    choose: impl FnOnce(Vec<IpAddr>) -> Vec<IpAddr>,
) -> Vec<SocketAddr> {
    choose(agent_ips(fleet).collect()).into_iter().map(|ip| SocketAddr::new(ip, port)).collect()
}

/// Returns the VMs of all engines.
pub(super) fn agent_ips(fleet: &Fleet) -> impl Iterator<Item = IpAddr> {
    let engines = fleet.servers().filter(|server| !server.listed.models.is_empty());
    engines.map(|server| server.listed.address.ip())
}
