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
    let engines = fleet.servers().filter(|server| !server.listed.models.is_empty());
    let agents = engines.map(|server| server.listed.address.ip()).collect();
    choose(agents).into_iter().map(|ip| SocketAddr::new(ip, port)).collect()
}
