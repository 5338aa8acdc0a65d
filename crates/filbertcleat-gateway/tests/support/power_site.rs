//! Entries and agents that lose power at once, beside backend servers that keep running.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use filbertcleat_gateway::CatalogueDelays;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::ListedServer;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::Route;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::SoftwareVersion;
use tokio::task::LocalSet;

use super::Backend;
use super::Call;
use super::Caller;
use super::Script;
use super::TestCatalogue;
use super::World;
use super::backend::header;
use super::idle_agent::free_peer_port;
use super::idle_agent::start_agent;
use super::route;
use super::site::LISTING_DELAY;
use super::site::next_subnet;
use super::world::deployment;
use super::world::listed;

const RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: true };
/// A server sends three events of a stream, and the rest if the stream is taken up.
const CUT_AFTER_THREE: Script = Script::EventsThenCut { count: 3 };
const FIVE_EVENTS: Script = Script::Events { count: 5, pause: Duration::from_millis(20) };

/// Entries and agents that lose power at once, beside backend servers that keep running.
pub struct PowerSite {
    pub subnet: u8,
    port: u16,
    pub catalogue: TestCatalogue,
    pub backends: Vec<Backend>,
    /// The software version of each backend server that was ever listed.
    versions: RefCell<BTreeMap<usize, String>>,
}

impl PowerSite {
    /// Starts this many backend servers. They are not listed yet.
    pub async fn start(servers: u8) -> Self {
        Self::start_with_routes(servers, vec![route("write", RESUMABLE, 1)]).await
    }

    /// Starts backend servers and publishes a configuration with these routes.
    pub async fn start_with_routes(servers: u8, routes: Vec<Route>) -> Self {
        let subnet = next_subnet();
        let port = free_peer_port(Ipv4Addr::new(127, 0, subnet, 1)).await;
        let catalogue = TestCatalogue::with_epoch(1);
        catalogue.write(CatalogueEvent::Deployment(deployment(1, routes)));
        let mut backends = Vec::new();
        for number in 0..servers {
            let ip = Ipv4Addr::new(127, 0, subnet, 101 + number);
            backends.push(Backend::start_at(&format!("w{number}"), ip, CUT_AFTER_THREE).await);
        }
        Self { subnet, port, catalogue, backends, versions: RefCell::default() }
    }

    /// Lists a backend server with a software version.
    pub fn list(&self, backend: usize, version: &str) {
        self.versions.borrow_mut().insert(backend, version.to_owned());
        let software_version = SoftwareVersion::new(version);
        let record = ListedServer { software_version, ..listed(&self.backends[backend]) };
        self.catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(record)));
    }

    /// Removes the record of a backend server.
    pub fn unlist(&self, backend: usize) {
        let id = ServerId::new(&self.backends[backend].id);
        self.catalogue.write(CatalogueEvent::Listing(ListingChange::Removed(id)));
    }

    /// Runs a test with entries, and with an agent beside each backend server if `has_agents`. All of
    /// them lose power when the test ends.
    pub async fn run_vms<T>(
        &self,
        entries: Range<u8>,
        has_agents: bool,
        test: impl AsyncFnOnce(&[World]) -> T,
    ) -> T {
        let vms = LocalSet::new();
        let run = async {
            if has_agents {
                for backend in &self.backends {
                    start_agent(backend, self.port).await;
                }
            }
            let mut worlds = Vec::new();
            for number in entries {
                let ip = Ipv4Addr::new(127, 0, self.subnet, 11 + number);
                let peers = SocketAddr::from((ip, self.port));
                let delays = CatalogueDelays {
                    configuration_ms: 2_000,
                    draining_ms: 2_000,
                    contact_ms: 3_000,
                };
                let catalogue = self.catalogue.with_own_link();
                worlds.push(World::start_with_peers(catalogue, delays, peers).await);
            }
            tokio::time::sleep(LISTING_DELAY).await;
            test(&worlds).await
        };
        vms.run_until(run).await
    }

    /// Makes the servers send streams to their ends from now on.
    pub fn mend_streams(&self) {
        for backend in &self.backends {
            backend.set_default(FIVE_EVENTS);
        }
    }

    /// Returns how many streams were taken up at the version that began them, and how many at
    /// another one.
    pub fn taken_up(&self) -> (usize, usize) {
        let (mut begun, mut resumed) = (BTreeMap::new(), Vec::new());
        for (number, backend) in self.backends.iter().enumerate() {
            let version = self.versions.borrow().get(&number).cloned();
            for head in backend.seen.borrow().iter() {
                match header(head, "x-resumes") {
                    Some(id) => resumed.push((id, version.clone())),
                    None => _ = begun.insert(header(head, "x-id").expect("an id"), version.clone()),
                }
            }
        }
        let is_kept = |(id, version): &&(String, Option<String>)| begun.get(id) == Some(version);
        let kept = resumed.iter().filter(is_kept).count();
        let joined = resumed.len() - kept;
        (kept, joined)
    }
}

/// Begins a stream at an entry; it breaks off after its third event.
pub async fn begin(world: &World, id: &'static str) {
    let reply = world.caller().await.call(&Call::new(id, "/write/1")).await;
    let reply = reply.expect("a response head");
    assert!(!reply.is_complete && reply.body.contains("id: 3"), "{reply:?}");
}

/// Takes up a stream after event 3 and returns the status of the response.
pub async fn take_up(world: &World, begun: &str) -> u16 {
    take_up_at(world.callers, begun).await
}

/// Takes up a stream at the entry with this address.
pub async fn take_up_at(entry: SocketAddr, begun: &str) -> u16 {
    let id = format!("{begun}-again").leak();
    let extra = format!("x-after: 3\r\nx-resumes: {begun}\r\n").leak();
    let call = Call { extra, ..Call::new(id, "/write/1") };
    let mut caller = Caller::connect(entry).await.expect("the entry listens");
    let reply = caller.call(&call).await.expect("a response");
    if reply.status == 503 {
        assert!(reply.header("retry-after").is_some(), "{reply:?}");
    }
    reply.status
}
