//! Entries that ask agents when prompts may be sent.

mod support;

use std::cell::Cell;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertcleat_gateway::CatalogueDelays;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::Route;
use filbertcleat_wire::v1;
use filbertcleat_wire::v1::datagram::Update;
use prost::Message;
use rstest::rstest;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::Instant;

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

const STREAM: RetryPolicy = RetryPolicy::Stream { resumable: false };
/// The time that an entry may lose if an agent does not reply.
const UNANSWERED_BOUND: Duration = Duration::from_millis(20);

/// What the agent replies when it is asked for a turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reply {
    Delay(u64),
    /// The first prompt gets no turn, the others may be sent at once.
    FullFirst,
    Nothing,
}

/// An agent that tells of this number of entries. Counts how often it is asked for a turn.
async fn start_agent(address: SocketAddr, entries: u32, reply: Reply) -> Rc<Cell<u32>> {
    let socket = UdpSocket::bind(address).await.expect("the port is free");
    let asked = Rc::new(Cell::new(0));
    let count = Rc::clone(&asked);
    spawn_local(async move {
        let mut buffer = vec![0; 65_536];
        let mut sequence = 0;
        while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
            let datagram = v1::Datagram::decode(&buffer[..length]).expect("a valid message");
            let update = match datagram.update {
                Some(Update::Entry(_)) => {
                    sequence += 1;
                    Update::Agent(v1::AgentUpdate {
                        agent: 1,
                        server: "w1".into(),
                        sequence,
                        models: vec!["base".into()],
                        entries,
                        ..v1::AgentUpdate::default()
                    })
                }
                Some(Update::PromptTurn(request)) => {
                    count.set(count.get() + 1);
                    let (delay_ms, full) = match reply {
                        Reply::Delay(delay_ms) => (delay_ms, false),
                        Reply::FullFirst => (0, count.get() == 1),
                        Reply::Nothing => continue,
                    };
                    let turn = request.turn;
                    let reply = v1::PromptTurnReply { turn, delay_ms, full, hot: false };
                    Update::PromptTurnReply(reply)
                }
                _ => continue,
            };
            let datagram = v1::Datagram { update: Some(update) }.encode_to_vec();
            socket.send_to(&datagram, from).await.expect("loopback accepts the datagram");
        }
    });
    asked
}

/// Sends a prompt through an entry. Returns how long it waited there, and how often the agent was
/// asked.
async fn wait_for_turn(entries: u32, reply: Reply) -> (Duration, u32) {
    let subnet = next_subnet();
    let (entry_ip, server_ip) =
        (Ipv4Addr::new(127, 0, subnet, 11), Ipv4Addr::new(127, 0, subnet, 101));
    let port = free_peer_port(entry_ip).await;
    let script = Script::Events { count: 2, pause: Duration::from_millis(5) };
    let writer = Backend::start_at("w1", server_ip, script).await;
    let asked = start_agent(SocketAddr::from((server_ip, port)), entries, reply).await;
    let catalogue = TestCatalogue::default();
    let write =
        Route { latency_objective_ms: 1_000, gap_objective_ms: 300, ..route("write", STREAM, 1) };
    catalogue.write(CatalogueEvent::Deployment(deployment(1, vec![write])));
    catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(listed(&writer))));
    let delays = CatalogueDelays { configuration_ms: 2_000, draining_ms: 2_000, contact_ms: 3_000 };
    let peers = SocketAddr::from((entry_ip, port));
    let world = World::start_with_peers(catalogue, delays, peers).await;
    tokio::time::sleep(Duration::from_secs(2)).await;

    let sent_at = Instant::now();
    let call = Call { extra: "x-prompt: 500\r\n", ..Call::new("a", "/write/1") };
    let response = world.caller().await.call(&call).await.expect("a response");

    assert_eq!(response.status, 200);
    (writer.arrived_at.borrow()[0] - sent_at, asked.get())
}

/// Guards against prompts that are sent before their turn, and against entries that wait for an agent
/// that does not reply.
#[rstest]
#[case::at_once(Reply::Delay(0), Duration::ZERO, UNANSWERED_BOUND)]
#[case::delayed(Reply::Delay(200), Duration::from_millis(200), Duration::from_millis(230))]
#[case::unanswered(Reply::Nothing, Duration::ZERO, UNANSWERED_BOUND)]
fn turn_kept(#[case] reply: Reply, #[case] at_least: Duration, #[case] at_most: Duration) {
    World::run(async move {
        let (waited, asked) = wait_for_turn(50, reply).await;

        assert_eq!(asked, 1);
        assert!((at_least..=at_most).contains(&waited), "{waited:?}");
    });
}

/// Guards against prompts that are sent to an engine whose agent has no room for them, and against
/// agents that are asked again at once.
#[test]
fn refused_turn_asked_again() {
    World::run(async {
        let (waited, asked) = wait_for_turn(50, Reply::FullFirst).await;

        assert_eq!(asked, 2);
        // The window, the jitter of a request that has waited, and the intervals of two passes.
        let window = Duration::from_millis(300)..=Duration::from_millis(300 + 60 + 15 + 3);
        assert!(window.contains(&waited), "{waited:?}");
    });
}

/// Guards against messages and delays in deployments with few entries, which learn of each other's
/// prompts at once.
#[test]
fn few_entries_ask_nobody() {
    World::run(async move {
        let (waited, asked) = wait_for_turn(40, Reply::Delay(200)).await;

        assert_eq!(asked, 0);
        assert!(waited <= UNANSWERED_BOUND, "{waited:?}");
    });
}
