//! What an entry does after its open connections to the catalogue have gone silent.

mod support;

use std::time::Duration;

use filbertcleat_gateway::CatalogueDelays;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_gateway::Topic;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::ServerId;
use rstest::rstest;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::TestCatalogue;
use self::support::World;
use self::support::route;
use self::support::world::deployment;
use self::support::world::listed;

const RESPONSE: Script = Script::Respond { status: 200, body: "yes", after: Duration::ZERO };

fn write_routes(catalogue: &TestCatalogue, version: u64, name: &str) {
    let routes = vec![route(name, RetryPolicy::AtMostOnce, 1)];
    catalogue.write(CatalogueEvent::Deployment(deployment(version, routes)));
}

async fn status(world: &World, path: &'static str) -> u16 {
    let reply = world.caller().await.call(&Call::new("probe", path)).await;
    reply.expect("a response").status
}

/// Guards against requests that are handled as a former configuration allows although the entry is in
/// touch again and the configuration that it has not read should be in force.
#[rstest]
#[case::small(3_000, 2_000)]
#[case::grown(4_000, 3_000)]
#[case::large(5_000, 4_000)]
#[case::short_contact(2_000, 4_000)]
#[case::long_contact(5_000, 2_000)]
fn configuration_read_in_touch(
    #[case] contact_ms: u64,
    #[case] configuration_ms: u64,
    #[values(0, 100, 1_500)] silent_after_ms: u64,
) {
    World::run(async move {
        let desk = Backend::start("d1", RESPONSE).await;
        let delays = CatalogueDelays { configuration_ms, draining_ms: 2_000, contact_ms };
        let world = World::start_with_delays(TestCatalogue::default(), delays).await;
        world.catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(listed(&desk))));
        write_routes(&world.catalogue, 1, "old");
        tokio::time::sleep(Duration::from_secs(4)).await;
        // A change ends the open call, so that the next one has just begun.
        write_routes(&world.catalogue, 2, "old");
        tokio::time::sleep(Duration::from_millis(25 + silent_after_ms)).await;
        assert_eq!(status(&world, "/old/1").await, 200);

        world.catalogue.silence_connection(Topic::Operators);
        write_routes(&world.catalogue, 3, "new");
        tokio::time::sleep(Duration::from_millis(contact_ms.max(configuration_ms))).await;

        assert_eq!(status(&world, "/new/1").await, 200);
        assert_eq!(status(&world, "/old/1").await, 404);
    });
}

/// Whether the other servers write their records meanwhile, which shows that they can.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Others {
    Write,
    Quiet,
}

/// Guards against requests that reach a server which has left, although the entry is in touch again and
/// the time of draining has passed.
#[rstest]
#[case::small(3_000, 2_000)]
#[case::grown(4_000, 3_000)]
#[case::large(5_000, 4_000)]
#[case::short_contact(3_000, 5_000)]
#[case::long_contact(5_000, 2_000)]
fn leaving_read_in_touch(
    #[case] contact_ms: u64,
    #[case] draining_ms: u64,
    #[values(Others::Write, Others::Quiet)] others: Others,
    #[values(50, 700, 1_900)] silent_at_ms: u64,
    #[values(0, 1_000)] removed_at_ms: u64,
) {
    const STEP: Duration = Duration::from_millis(50);
    World::run(async move {
        let leaving = Backend::start("d1", RESPONSE).await;
        let staying = Backend::start("d2", RESPONSE).await;
        let delays = CatalogueDelays { configuration_ms: 2_000, draining_ms, contact_ms };
        let world = World::start_with_delays(TestCatalogue::default(), delays).await;
        write_routes(&world.catalogue, 1, "book");
        let write = |backend| {
            let change = ListingChange::Upserted(listed(backend));
            world.catalogue.write(CatalogueEvent::Listing(change));
        };
        write(&leaving);
        write(&staying);
        tokio::time::sleep(Duration::from_secs(5)).await;
        // The response to this change sets the phase of the calls.
        write(&staying);
        let calls = world.catalogue.calls();
        while world.catalogue.calls() == calls {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        tokio::time::sleep(Duration::from_millis(silent_at_ms)).await;

        world.catalogue.silence_connection(Topic::Servers);
        let bound_ms = contact_ms.max(removed_at_ms + draining_ms);
        let mut arrivals_before = None;
        for now_ms in (0..bound_ms + 3_000).step_by(50) {
            if now_ms == removed_at_ms {
                let removed = ListingChange::Removed(ServerId::new("d1"));
                world.catalogue.write(CatalogueEvent::Listing(removed));
            }
            if others == Others::Write && now_ms % 1_200 == 0 {
                write(&staying);
            }
            if now_ms == bound_ms {
                arrivals_before = Some(leaving.arrivals());
            }
            assert_eq!(status(&world, "/book/1").await, 200);
            tokio::time::sleep(STEP).await;
        }

        assert!(arrivals_before > Some(0), "the server was used before it left");
        assert_eq!(Some(leaving.arrivals()), arrivals_before, "requests after the bound");
    });
}
