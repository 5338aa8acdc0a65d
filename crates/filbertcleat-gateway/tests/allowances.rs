//! Allowances of workspaces, from the request to the agents that hold the tokens.

mod support;

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use filbertcleat_base::WorkspaceName;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_gateway::ShutdownSignal;
use filbertcleat_serve::Allowance;
use filbertcleat_serve::AllowanceLedger;
use filbertcleat_serve::AllowanceUnit;
use filbertcleat_serve::Deployment;
use filbertcleat_serve::KeyHash;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::Workspace;
use filbertcleat_serve::Workspaces;
use filbertcleat_wire::v1;
use filbertcleat_wire::v1::datagram::Update;
use prost::Message;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::Site;
use self::support::World;
use self::support::caller::Reply;
use self::support::idle_agent::free_peer_port;
use self::support::idle_agent::start_agent_with_metrics;
use self::support::route;
use self::support::world::deployment;
use self::support::world::listed;

const RESPONSE: Script = Script::Respond { status: 200, body: "yes", after: Duration::ZERO };
/// The time after which the buckets of agents that have just started are full.
const FILLED: Duration = Duration::from_secs(12);
/// The most that a caller waits for a decision.
const DECISION_BOUND: Duration = Duration::from_millis(150);

/// A configuration in which the workspace `w1` may spend some tokens, each request `cost` of them.
fn configuration(version: u64, rate_per_s: f64, cost: u64) -> Deployment {
    let unit = AllowanceUnit::Tokens { default: cost };
    let allowance = Some(Allowance { rate_per_s, burst: rate_per_s, unit });
    let workspace =
        |name, allowance| Workspace { name: WorkspaceName::new(name), priority: 0, allowance };
    let limited = (workspace("w1", allowance), vec![KeyHash::of(b"k1")]);
    let unlimited = (workspace("w2", None), vec![KeyHash::of(b"k2")]);
    let workspaces = Some(Workspaces::new([limited, unlimited]));
    let routes = vec![route("book", RetryPolicy::AtMostOnce, 1)];
    Deployment { workspaces, ..deployment(version, routes) }
}

/// Starts entries, agents beside two engines, and a plain server for the requests.
async fn start(desk: &Backend, entries: u8, rate_per_s: f64, cost: u64) -> Site {
    let engines = vec![("w-1".to_owned(), RESPONSE), ("w-2".to_owned(), RESPONSE)];
    let site = Site::start(Vec::new(), engines, entries).await;
    site.catalogue.write(CatalogueEvent::Deployment(configuration(2, rate_per_s, cost)));
    site.catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(listed(desk))));
    tokio::time::sleep(FILLED).await;
    site
}

async fn call(site: &Site, entry: usize, extra: &'static str) -> Reply {
    let call = Call { extra, ..Call::new("r1", "/book/1") };
    site.send(entry, &call).await.expect("a response")
}

/// Guards against limits that each entry counts for itself, against requests that run after a 429,
/// and against a 429 whose `Retry-After` is not true.
#[test]
fn limit_holds_over_entries() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let site = start(&desk, 3, 1_000.0, 1_000).await;

        let (mut taken, mut refused) = (0, Vec::new());
        for number in 0..40 {
            let reply = call(&site, number % 3, "x-key: k1\r\n").await;
            match reply.status {
                200 => taken += 1,
                429 => refused.push(reply),
                other => panic!("{other}: {}", reply.head),
            }
        }

        // In a window: (1,000 x 8 + 1,000) x 1.1 + 11,000 tokens.
        assert!((2..=20).contains(&taken), "{taken}");
        assert!(refused.len() >= 20, "{}", refused.len());
        assert_eq!(desk.seen.borrow().len(), taken);
        let retry_after: f64 =
            refused[0].header("retry-after").expect("it has one").parse().expect("a number");
        assert!(retry_after > 0.0 && retry_after <= 30.0, "{retry_after}");

        let last: f64 = refused
            .last()
            .and_then(|reply| reply.header("retry-after")?.parse().ok())
            .expect("a number");
        tokio::time::sleep(Duration::from_secs_f64(last)).await;
        assert_eq!(call(&site, 0, "x-key: k1\r\n").await.status, 200);

        let mut counted = 0;
        for entry in &site.entries {
            let series = "filbertcleat_allowance_requests{workspace=\"w1\",outcome=\"refused\"}";
            counted += entry.metric(series).await.unwrap_or(0);
        }
        assert_eq!(counted, refused.len() as u64);
        // `filbertcleat allowances` reads these names and tags.
        let hash = AllowanceLedger::workspace_hash("w1");
        let tags = format!("{{workspace=\"w1\",hash=\"{hash:016x}\"}}");
        for name in ["rate", "burst"] {
            let series = format!("filbertcleat_allowance_{name}{tags}");
            assert_eq!(site.entries[0].metric(&series).await, Some(1_000), "{series}");
        }
        let series = format!("filbertcleat_allowance_use{tags}");
        assert!(site.entries[0].metric(&series).await.is_some_and(|used| used > 0));
    });
}

/// Guards against limits for workspaces that have none.
#[test]
fn other_workspace_not_limited() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let site = start(&desk, 1, 1_000.0, 30_000).await;

        for _ in 0..20 {
            assert_eq!(call(&site, 0, "x-key: k2\r\n").await.status, 200);
        }

        assert!(!site.entries[0].metrics().await.contains("allowance_requests"));
    });
}

/// Guards against the cost of requests that have not run: each is refused with 503, and together
/// they cost many times the allowance.
#[test]
fn refused_requests_cost_nothing() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let site = start(&desk, 1, 1_000.0, 1_000).await;
        let unlisted = ListingChange::Removed(listed(&desk).id);
        site.catalogue.write(CatalogueEvent::Listing(unlisted));
        tokio::time::sleep(Duration::from_secs(4)).await;

        for number in 0..100 {
            let reply = call(&site, 0, "x-key: k1\r\n").await;
            assert_eq!(reply.status, 503, "request {number}: {}", reply.head);
        }
        tokio::time::sleep(Duration::from_millis(500)).await;

        site.catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(listed(&desk))));
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(call(&site, 0, "x-key: k1\r\n").await.status, 200);
    });
}

/// Guards against an entry that spends tokens, or keeps callers waiting, while no agent responds.
#[test]
fn nothing_spent_without_agents() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let site = start(&desk, 1, 1_000.0, 1_000).await;
        site.agents.iter().for_each(ShutdownSignal::trigger);
        tokio::time::sleep(Duration::from_secs(1)).await;

        let began = tokio::time::Instant::now();
        let reply = call(&site, 0, "x-key: k1\r\n").await;

        assert_eq!(reply.status, 503);
        assert!(reply.header("retry-after").is_some(), "{}", reply.head);
        assert!(began.elapsed() <= DECISION_BOUND, "{:?}", began.elapsed());
        assert_eq!(desk.seen.borrow().len(), 0);
        assert_eq!(call(&site, 0, "x-key: k2\r\n").await.status, 200);
    });
}

/// Guards against the loss of an allowance with one agent of two.
#[test]
fn other_agent_stands_in() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let site = start(&desk, 1, 1_000.0, 500).await;

        for stopped in 0..2 {
            site.agents[stopped].trigger();
            tokio::time::sleep(Duration::from_secs(1)).await;
            let mut statuses = Vec::new();
            for _ in 0..2 {
                statuses.push(call(&site, 0, "x-key: k1\r\n").await.status);
                tokio::time::sleep(Duration::from_millis(700)).await;
            }
            let expected = if stopped == 0 { [200, 200] } else { [503, 503] };
            assert_eq!(statuses, expected);
        }
    });
}

/// Guards against metrics that grow with the number of workspaces.
#[test]
fn workspace_labels_bounded() {
    World::run(async {
        let desk = Backend::start("d1", RESPONSE).await;
        let site = start(&desk, 1, 1_000.0, 1).await;
        let unit = AllowanceUnit::Requests;
        let workspaces = (0..40).map(|number| {
            let name = WorkspaceName::new(&format!("w{number}"));
            let allowance = Some(Allowance { rate_per_s: 100.0, burst: 100.0, unit });
            let key = KeyHash::of(format!("key{number}").as_bytes());
            (Workspace { name, priority: 0, allowance }, vec![key])
        });
        let many = Workspaces::new(workspaces);
        let many = Deployment { workspaces: Some(many), ..configuration(3, 1.0, 1) };
        site.catalogue.write(CatalogueEvent::Deployment(many));
        tokio::time::sleep(Duration::from_secs(2)).await;

        for number in 0..40 {
            let extra: &'static str = format!("x-key: key{number}\r\n").leak();
            assert_eq!(call(&site, 0, extra).await.status, 200);
        }

        let entry = &site.entries[0];
        let text = entry.metrics().await;
        let series =
            text.lines().filter(|line| line.starts_with("filbertcleat_allowance_requests{"));
        assert_eq!(series.count(), 33);
        let other = "filbertcleat_allowance_requests{workspace=\"other\",outcome=\"taken\"}";
        assert_eq!(entry.metric(other).await, Some(8));
    });
}

/// Guards against buckets that operators cannot look at, and against fields that get lost on the
/// way to an agent and back.
#[test]
fn agent_shows_levels() {
    World::run(async {
        let engine = Backend::start("w-1", RESPONSE).await;
        let port = free_peer_port(Ipv4Addr::LOCALHOST).await;
        let loopback = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        let probe = TcpListener::bind(loopback).await.expect("loopback has a port");
        let metrics = probe.local_addr().expect("bound");
        drop(probe);
        start_agent_with_metrics(&engine, port, Some(metrics)).await;
        tokio::time::sleep(FILLED).await;
        let request = v1::AllowanceRequest {
            workspace: 0xabc,
            bucket: 1,
            entry: 7,
            sequence: 3,
            needed: 400,
            first_cost: 400,
            rate_per_s: 1_000.0,
            burst: 1_000.0,
            known_ms: 60_000,
            ..v1::AllowanceRequest::default()
        };
        let datagram = v1::Datagram { update: Some(Update::AllowanceRequest(request)) };
        let socket = UdpSocket::bind(loopback).await.expect("loopback has a port");
        let agent = SocketAddr::new(engine.address.ip(), port);
        socket.send_to(&datagram.encode_to_vec(), agent).await.expect("loopback accepts it");

        let mut buffer = [0; 500];
        let length = socket.recv(&mut buffer).await.expect("the agent responds");
        let datagram = v1::Datagram::decode(&buffer[..length]).expect("it is valid");
        let Some(Update::AllowanceGrant(grant)) = datagram.update else { panic!("{datagram:?}") };
        assert_eq!((grant.workspace, grant.bucket, grant.sequence), (0xabc, 1, 3));
        assert_eq!((grant.granted, grant.wait_ms), (400, 0));

        let mut stream = TcpStream::connect(metrics).await.expect("metrics are served");
        let get = "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        stream.write_all(get.as_bytes()).await.expect("written");
        let mut text = String::new();
        stream.read_to_string(&mut text).await.expect("read");
        let series = "filbertcleat_allowance_level{bucket=\"0000000000000abc/0\"} ";
        assert!(text.contains(series), "{text}");
    });
}
