//! Updates about backend servers that don't come from the agents beside them.

mod support;

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;

use filbertcleat_gateway::CatalogueDelays;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::ListedServer;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::ServerId;
use filbertcleat_wire::v1;
use filbertcleat_wire::v1::datagram::Update;
use prost::Message;
use rstest::rstest;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::TestCatalogue;
use self::support::World;
use self::support::idle_agent::free_peer_port;
use self::support::route;
use self::support::site::next_subnet;
use self::support::world::deployment;
use self::support::world::listed;

const YES: Script = Script::Respond { status: 200, body: "yes", after: Duration::ZERO };
const EVENTS: Script = Script::Events { count: 3, pause: Duration::ZERO };

/// An entry with the routes `/book/` to a plain server and `/write/` to an engine, each at an IP
/// address of its own.
struct Site {
    world: World,
    peers: SocketAddr,
    engine: Backend,
    desk: Backend,
}

impl Site {
    /// Starts the site, with the engine listed or not.
    async fn start(lists_engine: bool) -> Self {
        let subnet = next_subnet();
        let entry_ip = Ipv4Addr::new(127, 0, subnet, 11);
        let desk = Backend::start_at("d1", Ipv4Addr::new(127, 0, subnet, 101), YES).await;
        let engine = Backend::start_at("w1", Ipv4Addr::new(127, 0, subnet, 102), EVENTS).await;
        let catalogue = TestCatalogue::default();
        let routes = vec![
            route("book", RetryPolicy::AtMostOnce, 1),
            route("write", RetryPolicy::Stream { resumable: false }, 1),
        ];
        catalogue.write(CatalogueEvent::Deployment(deployment(1, routes)));
        let delays =
            CatalogueDelays { configuration_ms: 2_000, draining_ms: 2_000, contact_ms: 3_000 };
        let peers = SocketAddr::from((entry_ip, free_peer_port(entry_ip).await));
        let world = World::start_with_peers(catalogue, delays, peers).await;
        let site = Self { world, peers, engine, desk };
        site.list(&site.desk).await;
        if lists_engine {
            site.list(&site.engine).await;
        }
        site
    }

    async fn list(&self, backend: &Backend) {
        let change = ListingChange::Upserted(listed(backend));
        self.world.catalogue.write(CatalogueEvent::Listing(change));
        tokio::time::sleep(Duration::from_secs(2)).await;
    }

    /// Sends the entry an agent's update which says that a server is leaving.
    async fn announce_leaving(&self, from: IpAddr, server: &str) {
        let update = v1::AgentUpdate {
            agent: 1,
            server: server.to_owned(),
            sequence: 1,
            models: vec!["base".to_owned()],
            entries: 1,
            leaving: true,
            ..v1::AgentUpdate::default()
        };
        let datagram = v1::Datagram { update: Some(Update::Agent(update)) }.encode_to_vec();
        let socket = UdpSocket::bind((from, 0)).expect("loopback has a port");
        socket.send_to(&datagram, self.peers).expect("loopback accepts the datagram");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    async fn status_of(&self, path: &'static str) -> u16 {
        let reply = self.world.caller().await.call(&Call::new("a", path)).await;
        reply.expect("a response").status
    }
}

/// Guards against an update without an engine's id that shuts out a server without an engine at the
/// address of the sender.
#[rstest]
#[case::without_id("")]
#[case::by_id("d1")]
fn plain_server_kept(#[case] server: &str) {
    World::run(async move {
        let site = Site::start(true).await;

        site.announce_leaving(site.desk.address.ip(), server).await;

        assert_eq!(site.status_of("/book/1").await, 200);
    });
}

/// Guards against updates that speak for an engine on another machine.
#[test]
fn distant_engine_kept() {
    World::run(async {
        let site = Site::start(true).await;

        site.announce_leaving(site.desk.address.ip(), "w1").await;

        assert_eq!(site.status_of("/write/1").await, 200);
    });
}

/// Guards against an announcement that holds for all starts under an id, as no start is known.
#[test]
fn later_listing_kept() {
    World::run(async {
        let site = Site::start(false).await;

        site.announce_leaving(site.engine.address.ip(), "w1").await;
        site.list(&site.engine).await;

        assert_eq!(site.status_of("/write/1").await, 200);
    });
}

/// The agent beside an engine is believed, with and without the engine's id.
#[rstest]
#[case::without_id("")]
#[case::by_id("w1")]
fn own_engine_believed(#[case] server: &str) {
    World::run(async move {
        let site = Site::start(true).await;

        site.announce_leaving(site.engine.address.ip(), server).await;

        assert_eq!(site.status_of("/write/1").await, 503);
        assert_eq!(site.status_of("/book/1").await, 200);
    });
}

/// Guards against an update without an engine's id that is applied to the record of the engine which had
/// the address before, while the one that runs there looks as if it never reported.
#[test]
fn latest_start_updated() {
    World::run(async {
        let site = Site::start(true).await;
        let next =
            ListedServer { id: ServerId::new("w2"), started_unix_ms: 2, ..listed(&site.engine) };
        let change = ListingChange::Upserted(next);
        site.world.catalogue.write(CatalogueEvent::Listing(change));
        tokio::time::sleep(Duration::from_secs(2)).await;

        site.announce_leaving(site.engine.address.ip(), "").await;

        let leaving = site.world.metric("filbertcleat_servers{are=\"leaving\"}").await;
        assert_eq!(leaving, Some(1));
        let change = ListingChange::Removed(ServerId::new("w1"));
        site.world.catalogue.write(CatalogueEvent::Listing(change));
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(site.status_of("/write/1").await, 503);
    });
}
