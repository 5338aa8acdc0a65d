//! Streams of routes that several services share.

mod support;

use std::collections::BTreeMap;
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
