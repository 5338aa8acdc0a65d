//! Streams while backend servers of several software versions serve side by side.

mod support;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::FailureDomain;
use filbertcleat_gateway::CatalogueDelays;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::ListedServer;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::SoftwareVersion;
use filbertcleat_wire::v1;
use filbertcleat_wire::v1::datagram::Update;
use prost::Message;
use rstest::rstest;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::TestCatalogue;
use self::support::World;
use self::support::backend::event;
use self::support::idle_agent::free_peer_port;
use self::support::idle_agent::start_agent;
use self::support::route;
use self::support::site::next_subnet;
use self::support::world::deployment;
use self::support::world::listed;

const RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: true };
const FIVE_EVENTS: Script = Script::Events { count: 5, pause: Duration::from_millis(20) };
const CUT_AFTER_THREE: Script = Script::EventsThenCut { count: 3 };
/// The time in which an entry learns of a change of the catalogue.
const LISTING_DELAY: Duration = Duration::from_secs(2);

fn events(numbers: std::ops::RangeInclusive<u64>) -> String {
    numbers.map(event).collect()
}

/// Returns the record of a backend server in the local failure domain.
fn near(backend: &Backend, version: &str) -> ListedServer {
    ListedServer { software_version: SoftwareVersion::new(version), ..listed(backend) }
}

/// Returns the record of a backend server in another failure domain, which is the second choice.
fn far(backend: &Backend, version: &str) -> ListedServer {
    ListedServer { domain: FailureDomain::new("there"), ..near(backend, version) }
}

fn upsert(catalogue: &TestCatalogue, listed: ListedServer) {
    catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(listed)));
}

/// Starts an entry with a resumable route and the given backend servers.
async fn start(attempts_max: u32, servers: Vec<ListedServer>) -> World {
    let world = World::start(vec![route("write", RESUMABLE, attempts_max)], &[]).await;
    for server in servers {
        upsert(&world.catalogue, server);
    }
    tokio::time::sleep(LISTING_DELAY).await;
    world
}

/// Returns the request with which a caller takes up the stream of its request `a` after event 3.
fn take_up(id: &'static str) -> Call {
    Call { extra: "x-after: 3\r\nx-resumes: a\r\n", ..Call::new(id, "/write/1") }
}

#[test]
fn response_keeps_version() {
    World::run(async {
        let old = Backend::start("w1", FIVE_EVENTS).await;
        let new = Backend::start("w2", FIVE_EVENTS).await;
        old.script_next(CUT_AFTER_THREE);
        let world = start(2, vec![near(&old, "v1"), far(&new, "v2")]).await;

        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;

        let reply = reply.expect("a response head");
        assert_eq!((old.arrivals(), new.arrivals()), (2, 0));
        assert_eq!(reply.body, events(1..=5));
        assert!(reply.is_complete);
    });
}

#[test]
fn unserved_version_refused() {
    World::run(async {
        let old = Backend::start("w1", CUT_AFTER_THREE).await;
        let new = Backend::start("w2", FIVE_EVENTS).await;
        let world = start(1, vec![near(&old, "v1"), far(&new, "v2")]).await;
        let first = world.caller().await.call(&Call::new("a", "/write/1")).await;
        assert!(!first.expect("a response head").is_complete);
        let removed = ListingChange::Removed(ServerId::new("w1"));
        world.catalogue.write(CatalogueEvent::Listing(removed));
        tokio::time::sleep(LISTING_DELAY).await;

        let reply = world.caller().await.call(&take_up("b")).await.expect("a response");

        assert_eq!(reply.status, 503);
        assert!(reply.header("retry-after").is_some());
        assert_eq!(new.arrivals(), 0);
    });
}

#[test]
fn caller_keeps_version() {
    World::run(async {
        let old = Backend::start("w1", FIVE_EVENTS).await;
        let new = Backend::start("w2", FIVE_EVENTS).await;
        old.script_next(CUT_AFTER_THREE);
        let world = start(1, vec![near(&old, "v1"), far(&new, "v2")]).await;
        let first = world.caller().await.call(&Call::new("a", "/write/1")).await;
        assert!(!first.expect("a response head").is_complete);

        let reply = world.caller().await.call(&take_up("b")).await.expect("a response");

        assert_eq!((old.arrivals(), new.arrivals()), (2, 0));
        assert_eq!(reply.body, events(4..=5));
        assert!(reply.is_complete);
    });
}

/// A caller takes up a stream that nobody remembers.
#[rstest]
#[case::two_versions("v2", 503)]
#[case::one_version("v1", 200)]
fn unknown_stream_taken_up(#[case] other: &str, #[case] status: u16) {
    let other = other.to_owned();
    World::run(async move {
        let (one, two) =
            (Backend::start("w1", FIVE_EVENTS).await, Backend::start("w2", FIVE_EVENTS).await);
        let world = start(1, vec![near(&one, "v1"), near(&two, &other)]).await;

        let reply = world.caller().await.call(&take_up("b")).await.expect("a response");

        assert_eq!(reply.status, status);
        assert_eq!(one.arrivals() + two.arrivals(), usize::from(status == 200));
    });
}

/// An entry that has just started gets the configuration before the list of servers.
#[test]
fn early_resumption_refused() {
    World::run(async {
        let (one, two) =
            (Backend::start("w1", FIVE_EVENTS).await, Backend::start("w2", FIVE_EVENTS).await);
        let world = start(1, Vec::new()).await;
        let mut caller = world.caller().await;
        caller.send(&take_up("b")).await.expect("the entry reads the request");
        tokio::time::sleep(Duration::from_millis(1)).await;
        upsert(&world.catalogue, near(&one, "v1"));
        upsert(&world.catalogue, near(&two, "v2"));

        let reply = caller.read_reply().await.expect("a response");

        assert_eq!(reply.status, 503);
        assert_eq!(one.arrivals() + two.arrivals(), 0);
    });
}

#[test]
fn other_entry_keeps_version() {
    World::run(async {
        let [entry_a, entry_b] = [11, 12].map(|last| Ipv4Addr::new(127, 0, 0, last));
        let [old_ip, new_ip] = [13, 14].map(|last| Ipv4Addr::new(127, 0, 0, last));
        let port = free_peer_port(entry_a).await;
        let old = Backend::start_at("w1", old_ip, FIVE_EVENTS).await;
        let new = Backend::start_at("w2", new_ip, FIVE_EVENTS).await;
        old.script_next(CUT_AFTER_THREE);
        for backend in [&old, &new] {
            start_agent(backend, port).await;
        }
        let catalogue = TestCatalogue::default();
        let delays =
            CatalogueDelays { configuration_ms: 2_000, draining_ms: 2_000, contact_ms: 3_000 };
        let routes = vec![route("write", RESUMABLE, 1)];
        catalogue.write(CatalogueEvent::Deployment(deployment(1, routes)));
        upsert(&catalogue, near(&old, "v1"));
        upsert(&catalogue, far(&new, "v2"));
        let mut worlds = Vec::new();
        for ip in [entry_a, entry_b] {
            let peers = SocketAddr::from((ip, port));
            worlds.push(World::start_with_peers(catalogue.clone(), delays, peers).await);
        }
        tokio::time::sleep(LISTING_DELAY).await;
        let first = worlds[0].caller().await.call(&Call::new("a", "/write/1")).await;
        assert!(!first.expect("a response head").is_complete);
        // The server of the other version is now the first choice.
        upsert(&catalogue, far(&old, "v1"));
        upsert(&catalogue, near(&new, "v2"));
        tokio::time::sleep(LISTING_DELAY).await;

        let reply = worlds[1].caller().await.call(&take_up("b")).await.expect("a response");

        assert_eq!((old.arrivals(), new.arrivals()), (2, 0));
        assert_eq!(reply.body, events(4..=5));
        assert!(reply.is_complete);
    });
}

/// An agent that replies to the first questions for a stream after these delays, with a version or
/// without.
async fn start_late_agent(address: SocketAddr, delays_ms: [u64; 2], version: Option<&'static str>) {
    let socket = Rc::new(UdpSocket::bind(address).await.expect("the port is free"));
    spawn_local(async move {
        let mut buffer = [0; 2_000];
        let mut delays_ms = delays_ms.into_iter();
        loop {
            let (length, from) = socket.recv_from(&mut buffer).await.expect("loopback works");
            let datagram = v1::Datagram::decode(&buffer[..length]).expect("a valid message");
            let Some(Update::OriginQuery(query)) = datagram.update else { continue };
            let Some(wait_ms) = delays_ms.next() else { return };
            let socket = Rc::clone(&socket);
            spawn_local(async move {
                tokio::time::sleep(Duration::from_millis(wait_ms)).await;
                let software_version = version.map(str::to_owned);
                let reply =
                    v1::OriginReply { request: query.request, software_version, service: None };
                let reply = v1::Datagram { update: Some(Update::OriginReply(reply)) };
                socket.send_to(&reply.encode_to_vec(), from).await.expect("loopback works");
            });
        }
    });
}

/// Two agents don't know the stream, and their replies come after the entry has asked again; the
/// third one knows the stream and is the last to reply.
#[test]
fn late_replies_awaited() {
    World::run(async {
        let [entry_ip, old_ip, new_ip, other_ip] =
            [21, 23, 24, 25].map(|last| Ipv4Addr::new(127, 0, 0, last));
        let port = free_peer_port(entry_ip).await;
        let old = Backend::start_at("w1", old_ip, FIVE_EVENTS).await;
        let new = Backend::start_at("w2", new_ip, FIVE_EVENTS).await;
        let other = Backend::start_at("w3", other_ip, FIVE_EVENTS).await;
        for (ip, delays_ms, version) in
            [(old_ip, [65, 10], None), (new_ip, [66, 10], None), (other_ip, [200, 40], Some("v1"))]
        {
            start_late_agent(SocketAddr::from((ip, port)), delays_ms, version).await;
        }
        let catalogue = TestCatalogue::default();
        let delays =
            CatalogueDelays { configuration_ms: 2_000, draining_ms: 2_000, contact_ms: 3_000 };
        let routes = vec![route("write", RESUMABLE, 1)];
        catalogue.write(CatalogueEvent::Deployment(deployment(1, routes)));
        for record in [near(&old, "v1"), far(&new, "v2"), far(&other, "v2")] {
            upsert(&catalogue, record);
        }
        let peers = SocketAddr::from((entry_ip, port));
        let world = World::start_with_peers(catalogue, delays, peers).await;
        tokio::time::sleep(LISTING_DELAY).await;

        let reply = world.caller().await.call(&take_up("b")).await.expect("a response");

        assert_eq!((reply.status, old.arrivals()), (200, 1));
        assert_eq!(reply.body, events(4..=5));
    });
}

/// On busy machines agents reply late. They are the only ones who know the stream, as the catalogue
/// has no row of it.
#[rstest]
#[case::two_versions("v2", false)]
#[case::catalogue_away("v1", true)]
fn late_agents_heard(#[case] other: &'static str, #[case] is_away: bool) {
    World::run(async move {
        let subnet = next_subnet();
        let [entry_ip, old_ip, new_ip] =
            [11, 101, 102].map(|last| Ipv4Addr::new(127, 0, subnet, last));
        let port = free_peer_port(entry_ip).await;
        let old = Backend::start_at("w1", old_ip, FIVE_EVENTS).await;
        let new = Backend::start_at("w2", new_ip, FIVE_EVENTS).await;
        for ip in [old_ip, new_ip] {
            start_late_agent(SocketAddr::from((ip, port)), [300; 2], Some("v1")).await;
        }
        let catalogue = TestCatalogue::default();
        let routes = vec![route("write", RESUMABLE, 1)];
        catalogue.write(CatalogueEvent::Deployment(deployment(1, routes)));
        upsert(&catalogue, far(&old, "v1"));
        upsert(&catalogue, near(&new, other));
        let delays =
            CatalogueDelays { configuration_ms: 2_000, draining_ms: 2_000, contact_ms: 3_000 };
        let peers = SocketAddr::from((entry_ip, port));
        let world = World::start_with_peers(catalogue, delays, peers).await;
        tokio::time::sleep(LISTING_DELAY).await;
        world.catalogue.set_down(is_away);

        let reply = world.caller().await.call(&take_up("b")).await.expect("a response");

        assert_eq!((reply.status, old.arrivals() + new.arrivals()), (200, 1));
        assert!(other == "v1" || old.arrivals() == 1, "a joined stream");
        assert_eq!(reply.body, events(4..=5));
    });
}

/// Silence of agents must not look like agents that know nothing.
#[rstest]
#[case::silent(5_000, [None, None, Some(3)])]
#[case::unknown(10, [None, Some(3), None])]
fn agent_replies_counted(#[case] delay_ms: u64, #[case] counts: [Option<u64>; 3]) {
    World::run(async move {
        let subnet = next_subnet();
        let [entry_ip, one, two, three] =
            [11, 101, 102, 103].map(|last| Ipv4Addr::new(127, 0, subnet, last));
        let port = free_peer_port(entry_ip).await;
        let catalogue = TestCatalogue::default();
        let routes = vec![route("write", RESUMABLE, 1)];
        catalogue.write(CatalogueEvent::Deployment(deployment(1, routes)));
        let mut backends = Vec::new();
        for (ip, id) in [(one, "w1"), (two, "w2"), (three, "w3")] {
            let backend = Backend::start_at(id, ip, FIVE_EVENTS).await;
            start_late_agent(SocketAddr::from((ip, port)), [delay_ms; 2], None).await;
            upsert(&catalogue, near(&backend, "v1"));
            backends.push(backend);
        }
        let delays =
            CatalogueDelays { configuration_ms: 2_000, draining_ms: 2_000, contact_ms: 3_000 };
        let peers = SocketAddr::from((entry_ip, port));
        let world = World::start_with_peers(catalogue, delays, peers).await;
        tokio::time::sleep(LISTING_DELAY).await;

        world.caller().await.call(&take_up("b")).await.expect("a response");

        let mut seen = Vec::new();
        for reply in ["known", "unknown", "missing"] {
            let series = format!("filbertcleat_origin_replies{{reply=\"{reply}\"}}");
            seen.push(world.metric(&series).await);
        }
        assert_eq!(seen, counts);
    });
}
