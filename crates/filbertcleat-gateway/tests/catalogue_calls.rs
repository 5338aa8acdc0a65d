//! How often an entry calls the catalogue.

mod support;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use filbertcleat_gateway::CatalogueDelays;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use rstest::rstest;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::TestCatalogue;
use self::support::World;
use self::support::idle_agent::free_peer_port;
use self::support::idle_agent::start_agent;
use self::support::route;
use self::support::world::deployment;
use self::support::world::listed;

const RESPONSE: Script = Script::Respond { status: 200, body: "yes", after: Duration::ZERO };

/// Every heartbeat changes the list of backend servers, so that each call returns at once. The calls
/// of an entry must stay within two for each draining bound and one for each silent wait. Without an
/// agent that passes on facts, it follows these by one more call for each silent wait.
#[rstest]
#[case::small_deployment(2_000, 2_000, 3_000, true)]
#[case::large_deployment(4_000, 4_000, 5_000, true)]
#[case::small_without_agents(2_000, 2_000, 3_000, false)]
#[case::large_without_agents(4_000, 4_000, 5_000, false)]
fn calls_follow_bounds(
    #[case] configuration_ms: u64,
    #[case] draining_ms: u64,
    #[case] contact_ms: u64,
    #[case] has_agent: bool,
) {
    const LENGTH_MS: u64 = 60_000;
    /// Each topic is listed at the start.
    const LISTS: u64 = 3;
    World::run(async move {
        let desk = Backend::start("d1", RESPONSE).await;
        let engine = Backend::start_at("w1", Ipv4Addr::new(127, 0, 201, 1), Script::Silent).await;
        let entry_ip = Ipv4Addr::new(127, 0, 201, 2);
        let port = free_peer_port(entry_ip).await;
        let delays = CatalogueDelays { configuration_ms, draining_ms, contact_ms };
        let peers = SocketAddr::from((entry_ip, port));
        let world = World::start_with_peers(TestCatalogue::default(), delays, peers).await;
        if has_agent {
            start_agent(&engine, port).await;
            let listed = listed(&engine);
            world.catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(listed)));
        }
        let routes = vec![route("book", RetryPolicy::AtMostOnce, 1)];
        world.catalogue.write(CatalogueEvent::Deployment(deployment(1, routes)));
        let calls_before = world.catalogue.calls();

        for _ in 0..LENGTH_MS / 100 {
            world.catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(listed(&desk))));
            tokio::time::sleep(Duration::from_millis(100)).await;
        }

        let calls = u64::from(world.catalogue.calls() - calls_before);
        let servers_max = LENGTH_MS * 2 / draining_ms;
        // A call that goes silent has to be found and repeated within the time of contact, a third of
        // which is for that.
        let operators_max = LENGTH_MS * 3 / (contact_ms * 2);
        let facts_max = if has_agent { 0 } else { operators_max };
        assert!(calls <= servers_max + operators_max + facts_max + LISTS, "{calls} calls");
        assert!(calls >= servers_max.midpoint(operators_max), "{calls} calls");
        let reply = world.caller().await.call(&Call::new("a", "/book/1")).await;
        assert_eq!(reply.expect("a response").status, 200);
    });
}
