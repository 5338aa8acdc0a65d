//! Several entries, and backend servers with their agents, on VMs of their own.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use filbertcleat_gateway::CatalogueDelays;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_gateway::ShutdownSignal;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::Route;

use super::Backend;
use super::Call;
use super::Script;
use super::TestCatalogue;
use super::World;
use super::caller::Reply;
use super::idle_agent::free_peer_port;
use super::idle_agent::start_agent;
use super::world::deployment;
use super::world::listed;

/// The next part of loopback for a site, so that those of concurrent tests have no port in common.
static SUBNETS: AtomicU8 = AtomicU8::new(1);

/// The time in which an entry learns of a change of the catalogue.
pub const LISTING_DELAY: Duration = Duration::from_secs(2);

/// Several entries, and backend servers with their agents, on VMs of their own.
pub struct Site {
    subnet: u8,
    pub port: u16,
    pub catalogue: TestCatalogue,
    pub backends: Vec<Backend>,
    pub agents: Vec<ShutdownSignal>,
    pub entries: Vec<World>,
}

impl Site {
    /// Starts backend servers with these ids and scripts, an agent beside each, and entries.
    pub async fn start(routes: Vec<Route>, servers: Vec<(String, Script)>, entries: u8) -> Self {
        Self::start_with_catalogue(TestCatalogue::default(), routes, servers, entries).await
    }

    /// Starts them with a catalogue, which may keep facts.
    pub async fn start_with_catalogue(
        catalogue: TestCatalogue,
        routes: Vec<Route>,
        servers: Vec<(String, Script)>,
        entries: u8,
    ) -> Self {
        let subnet = next_subnet();
        let port = free_peer_port(entry_ip(subnet, 0)).await;
        catalogue.write(CatalogueEvent::Deployment(deployment(1, routes)));
        let (mut backends, mut agents) = (Vec::new(), Vec::new());
        for (number, (id, script)) in (0..).zip(servers) {
            let ip = Ipv4Addr::new(127, 0, subnet, 101 + number);
            let backend = Backend::start_at(&id, ip, script).await;
            agents.push(start_agent(&backend, port).await);
            catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(listed(&backend))));
            backends.push(backend);
        }
        let mut site = Self { subnet, port, catalogue, backends, agents, entries: Vec::new() };
        for number in 0..entries {
            site.start_entry(number).await;
        }
        tokio::time::sleep(LISTING_DELAY).await;
        site
    }

    /// Starts one more entry.
    pub async fn start_entry(&mut self, number: u8) {
        let peers = SocketAddr::from((entry_ip(self.subnet, number), self.port));
        let delays =
            CatalogueDelays { configuration_ms: 2_000, draining_ms: 2_000, contact_ms: 3_000 };
        self.entries.push(World::start_with_peers(self.catalogue.clone(), delays, peers).await);
    }

    /// Sends a request to an entry, on a connection of its own.
    pub async fn send(&self, entry: usize, call: &Call) -> Option<Reply> {
        self.entries[entry].caller().await.call(call).await
    }
}

/// Returns a part of loopback that no other test of the process uses.
pub fn next_subnet() -> u8 {
    SUBNETS.fetch_add(1, Ordering::Relaxed)
}

fn entry_ip(subnet: u8, number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, subnet, 11 + number)
}
