//! Datagrams that are malformed, or carry numbers that no process sends.

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
use filbertcleat_wire::v1::crash_mark::Suspect;
use filbertcleat_wire::v1::datagram::Update;
use filbertcleat_wire::v1::fact;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::BoxedStrategy;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::strategy::Just;
use proptest::strategy::ValueTree;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use prost::Message;

use self::support::Backend;
use self::support::Call;
use self::support::Identity;
use self::support::Script;
use self::support::TestCatalogue;
use self::support::World;
use self::support::idle_agent::free_peer_port;
use self::support::idle_agent::start_agent;
use self::support::panic_count::count_panics;
use self::support::panic_count::panics;
use self::support::route;
use self::support::world::deployment;
use self::support::world::listed;

/// The datagrams of each test.
const DATAGRAMS: usize = 3_000;
/// The datagrams between two turns of the process, few enough for the socket's buffer.
const BATCH: usize = 20;

fn whole() -> BoxedStrategy<u64> {
    prop_oneof![Just(0), Just(1), Just(u64::MAX), Just(u64::MAX / 2), 0..100_000_u64, any::<u64>()]
        .boxed()
}

fn half() -> BoxedStrategy<u32> {
    prop_oneof![Just(0), Just(1), Just(u32::MAX), 0..100_u32, any::<u32>()].boxed()
}

fn real() -> BoxedStrategy<f64> {
    let odd = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, 0.0, 1e308, 1e-308, 1_000.0];
    prop_oneof![proptest::sample::select(odd.to_vec()), any::<f64>()].boxed()
}

fn name() -> BoxedStrategy<String> {
    let known = ["", "w1", "base", "a", "b", "\u{0}\n\"", "\u{1F600}"].map(str::to_owned);
    prop_oneof![4 => proptest::sample::select(known.to_vec()), 1 => any::<String>()].boxed()
}

fn entry_update() -> BoxedStrategy<Update> {
    let demand = (name(), name(), whole(), half(), half()).prop_map(
        |(model, adapter, version, priority, waiting)| v1::AdapterDemand {
            model,
            adapter,
            version,
            priority,
            waiting,
        },
    );
    let in_use = (name(), name(), half()).prop_map(|(model, adapter, count)| v1::AdapterUse {
        model,
        adapter,
        count,
    });
    let model = (name(), real(), real())
        .prop_map(|(name, weights_mb, adapter_mb)| v1::ModelShape { name, weights_mb, adapter_mb });
    let shape = (half(), whole(), real(), half(), vec(model, 0..4)).prop_map(
        |(slots, memory_tokens, weights_max_mb, adapter_places, models)| v1::EngineShape {
            slots,
            memory_tokens,
            weights_max_mb,
            adapter_places,
            models,
        },
    );
    let model_demand = (name(), half(), half())
        .prop_map(|(model, work, engines)| v1::ModelDemand { model, work, engines });
    let identity = (0..4_u64, whole(), name());
    let lists = (vec(demand, 0..5), vec(in_use, 0..5), vec(model_demand, 0..4));
    let rest = (option::of(shape), whole(), option::of(whole()));
    (identity, lists, rest)
        .prop_map(|((entry, sequence, server), (wants, uses, demand), rest)| {
            let (shape, sent_tokens, facts_digest) = rest;
            Update::Entry(v1::EntryUpdate {
                entry,
                sequence,
                server,
                wants,
                uses,
                shape,
                demand,
                sent_tokens,
                facts_digest,
            })
        })
        .boxed()
}

fn agent_update() -> BoxedStrategy<Update> {
    let held =
        (name(), name(), whole(), any::<i32>()).prop_map(|(model, adapter, version, stage)| {
            v1::LoadedAdapter { model, adapter, version, stage }
        });
    let identity = (0..4_u64, name(), whole());
    let lists = (vec(name(), 0..3), vec(name(), 0..3), vec(held, 0..4));
    let load = (half(), half(), whole(), whole(), whole(), whole(), half());
    (identity, lists, load, any::<bool>(), option::of(whole()))
        .prop_map(|((agent, server, sequence), lists, load, leaving, limit)| {
            let (models, loading, held) = lists;
            let (running, waiting, memory_used_tokens, memory_tokens, others_tokens, ..) = load;
            Update::Agent(v1::AgentUpdate {
                agent,
                server,
                sequence,
                models,
                loading,
                held,
                running,
                waiting,
                memory_used_tokens,
                memory_tokens,
                others_tokens,
                others_total_tokens: load.5,
                entries: load.6,
                leaving,
                limit_thousandths_per_s: limit,
            })
        })
        .boxed()
}

fn other_update() -> BoxedStrategy<Update> {
    let suspect = prop_oneof![whole().prop_map(Suspect::Part), whole().prop_map(Suspect::Content)];
    let crash = (option::of(suspect), whole(), whole(), whole(), any::<(bool, bool)>()).prop_map(
        |(suspect, crash, age_ms, run_ms, (cleared, was_sound))| {
            fact::Fact::Crash(v1::CrashMark { suspect, crash, age_ms, run_ms, cleared, was_sound })
        },
    );
    let leaving = (name(), whole(), whole()).prop_map(|(server, started_unix_ms, age_ms)| {
        fact::Fact::Leaving(v1::LeavingMark { server, started_unix_ms, age_ms })
    });
    let fact = option::of(prop_oneof![crash, leaving]).prop_map(|fact| v1::Fact { fact });
    prop_oneof![
        (vec(fact, 0..6), any::<bool>())
            .prop_map(|(facts, complete)| Update::Facts(v1::Facts { facts, complete })),
        (whole(), name(), option::of(name())).prop_map(|(request, software_version, service)| {
            Update::Origin(v1::StreamOrigin { request, software_version, service })
        }),
        whole().prop_map(|request| Update::OriginQuery(v1::OriginQuery { request })),
        (whole(), option::of(name()), option::of(name())).prop_map(
            |(request, software_version, service)| {
                Update::OriginReply(v1::OriginReply { request, software_version, service })
            }
        ),
    ]
    .boxed()
}

/// Well-formed messages with any content, messages that are cut off or changed, and random bytes.
fn datagram() -> BoxedStrategy<Vec<u8>> {
    let update = prop_oneof![2 => entry_update(), 2 => agent_update(), 1 => other_update()];
    let whole = option::weighted(0.98, update)
        .prop_map(|update| v1::Datagram { update }.encode_to_vec())
        .boxed();
    let damaged = (whole.clone(), any::<usize>(), any::<usize>(), any::<u8>()).prop_map(
        |(mut bytes, length, place, value)| {
            if !bytes.is_empty() {
                let place = place % bytes.len();
                bytes[place] = value;
                bytes.truncate(length % (bytes.len() + 1));
            }
            bytes
        },
    );
    prop_oneof![6 => whole, 2 => damaged, 1 => vec(any::<u8>(), 0..200)].boxed()
}

/// Sends the datagrams to a process, which gets a turn after each batch.
async fn send_all(to: SocketAddr) {
    let config = Config { rng_seed: RngSeed::Fixed(6), ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback has a port");
    let strategy = datagram();
    for number in 0..DATAGRAMS {
        let bytes = strategy.new_tree(&mut runner).expect("no filter").current();
        socket.send_to(&bytes, to).expect("loopback accepts the datagram");
        if number % BATCH == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
}

async fn start_world(ip: Ipv4Addr, port: u16, backends: &[&Backend]) -> World {
    let catalogue = TestCatalogue::default();
    let routes = vec![
        route("book", RetryPolicy::AtMostOnce, 1),
        route("write", RetryPolicy::Stream { resumable: true }, 2),
    ];
    catalogue.write(CatalogueEvent::Deployment(deployment(1, routes)));
    for backend in backends {
        catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(listed(backend))));
    }
    let delays = CatalogueDelays { configuration_ms: 2_000, draining_ms: 2_000, contact_ms: 3_000 };
    let peers = SocketAddr::new(IpAddr::V4(ip), port);
    let world = World::start_with_peers(catalogue, delays, peers).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    world
}

/// Guards against a datagram that ends a task of an entry, by a panic or a number that overflows.
#[test]
fn entry_outlasts_datagrams() {
    count_panics();
    World::run(async {
        let yes = Script::Respond { status: 200, body: "yes", after: Duration::ZERO };
        let desk = Backend::start("d1", yes).await;
        let events = Script::Events { count: 3, pause: Duration::ZERO };
        let writer = Backend::start("w1", events).await;
        let ip = Ipv4Addr::new(127, 0, 201, 1);
        let port = free_peer_port(ip).await;
        let world = start_world(ip, port, &[&desk, &writer]).await;
        let peers = SocketAddr::from((ip, port));

        send_all(peers).await;
        // A request meets the state that the datagrams left; it may be refused.
        world.caller().await.call(&Call::new("a", "/write/1")).await.expect("a response");
        // Of a server under another id nothing was told.
        let other = ListedServer { id: ServerId::new("another"), ..listed(&writer) };
        writer.identify_as(Identity::Other);
        world.catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(other)));
        tokio::time::sleep(Duration::from_secs(3)).await;

        assert_eq!(panics(), 0);
        for path in ["/book/1", "/write/1"] {
            let reply = world.caller().await.call(&Call::new("b", path)).await;
            let reply = reply.expect("a response");
            assert_eq!(reply.status, 200, "{path}: {reply:?}");
        }
    });
}

/// Guards against a datagram that ends an agent or stops its updates.
#[test]
fn agent_outlasts_datagrams() {
    count_panics();
    World::run(async {
        let ip = Ipv4Addr::new(127, 0, 202, 1);
        let agent_ip = Ipv4Addr::new(127, 0, 202, 101);
        let events = Script::Events { count: 3, pause: Duration::ZERO };
        let writer = Backend::start_at("w1", agent_ip, events).await;
        let port = free_peer_port(agent_ip).await;
        let _agent = start_agent(&writer, port).await;

        send_all(SocketAddr::from((agent_ip, port))).await;
        let world = start_world(ip, port, &[&writer]).await;

        assert_eq!(panics(), 0);
        let series = "filbertcleat_servers{are=\"heard\"}";
        assert_eq!(world.metric(series).await, Some(1), "the agent sends no updates");
    });
}
