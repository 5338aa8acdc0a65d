//! Streams of routes that several services share.

mod support;

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use filbertcleat_base::ServiceName;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::Route;
use filbertcleat_serve::Target;
use rstest::rstest;

use self::support::Backend;
use self::support::Call;
use self::support::PowerSite;
use self::support::Script;
use self::support::TestCatalogue;
use self::support::World;
use self::support::backend::header;
use self::support::power_site::begin;
use self::support::power_site::take_up;
use self::support::route;
use self::support::site::LISTING_DELAY;
use self::support::world::deployment;
use self::support::world::listed;

/// Starts an entry with a resumable route to the services `writer` and `desk`, by their weights.
async fn start(weights: [u64; 2], backends: &[Backend]) -> World {
    let catalogue = TestCatalogue::default();
    let targets = ["writer", "desk"].into_iter().zip(weights);
    let targets =
        targets.map(|(service, weight)| Target { service: ServiceName::new(service), weight });
    let resumable = RetryPolicy::Stream { resumable: true };
    let route = Route { targets: targets.collect(), ..route("write", resumable, 1) };
    catalogue.write(CatalogueEvent::Deployment(deployment(1, vec![route])));
    for backend in backends {
        catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(listed(backend))));
    }
    let world = World::start_with_catalogue(catalogue).await;
    tokio::time::sleep(LISTING_DELAY).await;
    world
}

/// Two services of one software version write different texts: the service is part of the origin.
#[test]
fn split_stream_keeps_service() {
    const IDS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
    World::run(async {
        let backends = [
            Backend::start("w1", Script::EventsThenCut { count: 3 }).await,
            Backend::start("d1", Script::EventsThenCut { count: 3 }).await,
        ];
        let world = start([1, 1], &backends).await;
        for id in IDS {
            begin(&world, id).await;
            tokio::time::sleep(LISTING_DELAY).await;
        }
        for backend in &backends {
            assert!(backend.arrivals() > 0, "no stream began at {}", backend.id);
            backend.set_default(Script::Events { count: 5, pause: Duration::from_millis(20) });
        }

        for id in IDS {
            assert_eq!(take_up(&world, id).await, 200);
        }

        let mut services = BTreeMap::<String, Vec<&str>>::new();
        for backend in &backends {
            for head in backend.seen.borrow().iter() {
                let id = header(head, "x-resumes").or_else(|| header(head, "x-id"));
                services.entry(id.expect("an id")).or_default().push(&backend.id);
            }
        }
        assert!(services.values().all(|ids| ids.len() == 2 && ids[0] == ids[1]), "{services:?}");
    });
}

/// Guards against a service drawn by the id of the take-up: without a known origin the id of the
/// request that began the stream tells the service.
#[test]
fn unknown_stream_keeps_service() {
    const IDS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
    World::run(async {
        let resumable = RetryPolicy::Stream { resumable: true };
        let targets = ["writer", "desk"];
        let targets = targets.map(|name| Target { service: ServiceName::new(name), weight: 1 });
        let split = Route { targets: targets.into(), ..route("write", resumable, 1) };
        let mut site = PowerSite::start_with_routes(1, vec![split]).await;
        let ip = Ipv4Addr::new(127, 0, site.subnet, 103);
        site.backends.push(Backend::start_at("d1", ip, Script::EventsThenCut { count: 3 }).await);
        site.list(0, "v1");
        site.list(1, "v1");
        site.run_vms(0..1, false, async |worlds| {
            for id in IDS {
                begin(&worlds[0], id).await;
                tokio::time::sleep(LISTING_DELAY).await;
            }
        })
        .await;
        let seen_at_servers = |name| -> Vec<Vec<String>> {
            site.backends.iter().map(|backend| seen(backend, name)).collect()
        };
        let begun = seen_at_servers("x-id");
        assert!(begun.iter().all(|ids| !ids.is_empty()), "a service without streams: {begun:?}");
        site.mend_streams();

        site.run_vms(0..1, false, async |worlds| {
            for id in IDS {
                assert_eq!(take_up(&worlds[0], id).await, 200);
            }
        })
        .await;

        assert_eq!(seen_at_servers("x-resumes"), begun);
    });
}

/// A caller that does not name the request that began its stream may have been served by either
/// service.
#[rstest]
#[case::shared([1, 1], 503)]
#[case::single([1, 0], 200)]
fn unnamed_stream_not_joined(#[case] weights: [u64; 2], #[case] status: u16) {
    const IDS: [&str; 4] = ["a", "b", "c", "d"];
    World::run(async move {
        let script = Script::Events { count: 5, pause: Duration::from_millis(20) };
        let backends =
            [Backend::start("w1", script.clone()).await, Backend::start("d1", script).await];
        let world = start(weights, &backends).await;

        for id in IDS {
            let call = Call { extra: "x-after: 3\r\n", ..Call::new(id, "/write/1") };
            let reply = world.caller().await.call(&call).await.expect("a response");
            assert_eq!(reply.status, status, "{reply:?}");
            assert_eq!(reply.header("retry-after").is_some(), status == 503, "{reply:?}");
        }

        let arrivals: Vec<_> = backends.iter().map(Backend::arrivals).collect();
        let expected = if status == 503 { 0 } else { IDS.len() };
        assert_eq!(arrivals, [expected, 0]);
    });
}

/// Returns the values of a header of the requests that arrived.
fn seen(backend: &Backend, name: &str) -> Vec<String> {
    backend.seen.borrow().iter().filter_map(|head| header(head, name)).collect()
}
