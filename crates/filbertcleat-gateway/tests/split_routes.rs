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

use self::support::Backend;
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

/// Two services of one software version write different texts: the service is part of the origin.
#[test]
fn split_stream_keeps_service() {
    const IDS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
    World::run(async {
        let backends = [
            Backend::start("w1", Script::EventsThenCut { count: 3 }).await,
            Backend::start("d1", Script::EventsThenCut { count: 3 }).await,
        ];
        let catalogue = TestCatalogue::default();
        let split = ["writer", "desk"]
            .map(|service| Target { service: ServiceName::new(service), weight: 1 });
        let resumable = RetryPolicy::Stream { resumable: true };
        let route = Route { targets: split.to_vec(), ..route("write", resumable, 1) };
        catalogue.write(CatalogueEvent::Deployment(deployment(1, vec![route])));
        for backend in &backends {
            catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(listed(backend))));
        }
        let world = World::start_with_catalogue(catalogue).await;
        tokio::time::sleep(LISTING_DELAY).await;
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
