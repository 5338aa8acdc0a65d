//! Streams of routes that move to another service, whose backend servers name the same software
//! version.

mod support;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use filbertcleat_base::ServiceName;
use filbertcleat_gateway::CatalogueDelays;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_gateway::Topic;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::Route;
use filbertcleat_serve::Target;
use rstest::rstest;

use self::support::Backend;
use self::support::Call;
use self::support::Framing;
use self::support::PowerSite;
use self::support::Script;
use self::support::ScriptedStream;
use self::support::StreamStep;
use self::support::TestCatalogue;
use self::support::World;
use self::support::power_site::begin;
use self::support::power_site::take_up;
use self::support::route;
use self::support::site::LISTING_DELAY;
use self::support::site::Site;
use self::support::site::next_subnet;
use self::support::world::deployment;
use self::support::world::listed;

const CUT_AFTER_THREE: Script = Script::EventsThenCut { count: 3 };
const FIVE_EVENTS: Script = Script::Events { count: 5, pause: Duration::from_millis(20) };
/// Longer than origins of streams are remembered.
const WINDOW: Duration = Duration::from_secs(62);

/// Returns a resumable route with weights of the services `writer` and `desk`.
fn split(weights: [u64; 2]) -> Route {
    let targets = ["writer", "desk"]
        .into_iter()
        .zip(weights)
        .filter(|(_, weight)| *weight > 0)
        .map(|(service, weight)| Target { service: ServiceName::new(service), weight });
    let resumable = RetryPolicy::Stream { resumable: true };
    Route { targets: targets.collect(), ..route("write", resumable, 2) }
}

/// Publishes a configuration and waits until it is in force.
async fn configure(catalogue: &TestCatalogue, version: u64, weights: [u64; 2]) {
    let deployment = deployment(version, vec![split(weights)]);
    catalogue.write(CatalogueEvent::Deployment(deployment));
    tokio::time::sleep(LISTING_DELAY).await;
}

/// Starts two entries and a backend server of each service. The route leads to `writer`.
async fn start() -> Site {
    let servers = vec![("w1".to_owned(), FIVE_EVENTS), ("d1".to_owned(), FIVE_EVENTS)];
    Site::start(vec![split([1, 0])], servers, 2).await
}

/// Begins a stream at the service `writer`, which breaks off after its third event.
async fn begin_at_writer(site: &Site) {
    // The entry itself may go on once with the stream.
    (0..2).for_each(|_| site.backends[0].script_next(CUT_AFTER_THREE));
    begin(&site.entries[0], "a").await;
    assert_eq!(arrivals(site), [2, 0]);
}

fn arrivals(site: &Site) -> [usize; 2] {
    [0, 1].map(|server| site.backends[server].arrivals())
}

/// The new service can't go on with the stream, and the former one may not run the request.
#[rstest]
#[case::known(0)]
#[case::asked(1)]
fn moved_stream_refused(#[case] entry: usize) {
    World::run(async move {
        let site = start().await;
        begin_at_writer(&site).await;
        configure(&site.catalogue, 2, [0, 1]).await;

        assert_eq!((take_up(&site.entries[entry], "a").await, arrivals(&site)), (503, [2, 0]));

        configure(&site.catalogue, 3, [1, 0]).await;
        assert_eq!((take_up(&site.entries[entry], "a").await, arrivals(&site)), (200, [3, 0]));
    });
}

/// The row of an entry that has lost its memory names the service.
#[test]
fn kept_service_refused() {
    World::run(async {
        let mut site = PowerSite::start(2).await;
        let ip = Ipv4Addr::new(127, 0, site.subnet, 103);
        site.backends.push(Backend::start_at("d1", ip, CUT_AFTER_THREE).await);
        site.list(0, "v1");
        site.list(2, "v1");
        site.run_vms(0..1, false, async |worlds| {
            begin(&worlds[0], "a").await;
            site.list(1, "v2");
            tokio::time::sleep(LISTING_DELAY).await;
        })
        .await;
        site.mend_streams();
        configure(&site.catalogue, 2, [0, 1]).await;

        let status = site.run_vms(0..1, false, async |worlds| take_up(&worlds[0], "a").await).await;

        assert_eq!((status, site.backends[2].arrivals()), (503, 0));
    });
}

/// Other weights draw another service for the same request.
#[test]
fn reweighted_stream_kept() {
    World::run(async {
        let site = start().await;
        begin_at_writer(&site).await;
        configure(&site.catalogue, 2, [1, 1_000_000_000]).await;

        assert_eq!((take_up(&site.entries[0], "a").await, arrivals(&site)), (200, [3, 0]));
    });
}

/// A response that began at a service goes on there, though the route has moved meanwhile.
#[test]
fn response_keeps_service() {
    World::run(async {
        let site = start().await;
        let pause = [StreamStep::Events(1), StreamStep::Wait(Duration::from_secs(1))];
        let steps = [pause, pause, pause, pause, [StreamStep::Comment, StreamStep::Reset]];
        site.backends[0].script_next(Script::Stream(ScriptedStream {
            total: 5,
            version: "v1",
            framing: Framing::Chunked,
            pad_bytes: 0,
            steps: steps.concat(),
        }));
        let mut caller = site.entries[0].caller().await;
        caller.send(&Call::new("a", "/write/1")).await.expect("the entry reads the request");
        tokio::time::sleep(Duration::from_millis(500)).await;
        configure(&site.catalogue, 2, [0, 1]).await;
        let moved = site.send(0, &Call::new("b", "/write/1")).await.expect("a response");
        assert_eq!((moved.status, arrivals(&site)), (200, [1, 1]));

        let reply = caller.read_reply().await.expect("a response");

        assert!(reply.is_complete && reply.body.contains("id: 5"), "{reply:?}");
        assert_eq!(arrivals(&site), [2, 1]);
    });
}

/// A stream that nobody knows may have begun at the service before. Later it is too old.
#[test]
fn unknown_stream_refused() {
    World::run(async {
        let site = start().await;
        configure(&site.catalogue, 2, [0, 1]).await;

        assert_eq!((take_up(&site.entries[0], "a").await, arrivals(&site)), (503, [0, 0]));

        tokio::time::sleep(WINDOW).await;
        assert_eq!((take_up(&site.entries[0], "a").await, arrivals(&site)), (200, [0, 1]));
    });
}

/// When the route of a stream moves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Move {
    /// Entries see the configuration before they lose power.
    BeforeLoss,
    /// No entry sees the configuration before.
    AfterLoss,
    /// The route leads elsewhere for a moment.
    AndBack,
    Never,
}

/// An entry that starts after the move does not know the former service, and neither an agent nor a
/// row of origins tells it.
#[rstest]
#[case::before_loss(Move::BeforeLoss, 503)]
#[case::after_loss(Move::AfterLoss, 503)]
#[case::and_back(Move::AndBack, 503)]
#[case::never(Move::Never, 200)]
fn started_entry_joins_nothing(#[case] when: Move, #[case] status: u16) {
    World::run(async move {
        let mut site = PowerSite::start_with_routes(1, vec![split([1, 0])]).await;
        let ip = Ipv4Addr::new(127, 0, site.subnet, 103);
        site.backends.push(Backend::start_at("d1", ip, CUT_AFTER_THREE).await);
        site.list(0, "v1");
        site.list(1, "v1");
        site.run_vms(0..2, false, async |worlds| {
            tokio::time::sleep(LISTING_DELAY).await;
            if when == Move::AndBack {
                configure(&site.catalogue, 2, [0, 1]).await;
            }
            begin(&worlds[0], "a").await;
            match when {
                Move::BeforeLoss => configure(&site.catalogue, 2, [0, 1]).await,
                Move::AndBack => configure(&site.catalogue, 3, [1, 0]).await,
                Move::AfterLoss | Move::Never => {}
            }
            // Entries keep what they see of a route within some seconds.
            tokio::time::sleep(LISTING_DELAY).await;
        })
        .await;
        if when == Move::AfterLoss {
            configure(&site.catalogue, 2, [0, 1]).await;
        }
        site.mend_streams();
        let begun = [0, 1].map(|server| site.backends[server].arrivals());

        site.run_vms(0..2, false, async |worlds| {
            for world in worlds {
                assert_eq!(take_up(world, "a").await, status);
            }
            let arrivals = [0, 1].map(|server| site.backends[server].arrivals());
            let resumed = if status == 200 { worlds.len() } else { 0 };
            assert_eq!(arrivals, [begun[0] + resumed, begun[1]]);

            tokio::time::sleep(WINDOW).await;
            assert_eq!(take_up(&worlds[0], "a").await, 200);
        })
        .await;
    });
}

/// Why an entry has not read the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Unread {
    /// The connection of the open call has gone silent.
    Silent,
    /// Its calls to the catalogue fail.
    Cut,
}

/// The entry that takes a stream up has not read yet that its route moved before it began. No agent
/// tells the origin.
#[rstest]
#[case::moved([1, 0], [0, 1])]
#[case::reweighted([1_000_000, 1], [1, 1_000_000])]
fn unread_move_joins_nothing(
    #[case] before: [u64; 2],
    #[case] after: [u64; 2],
    #[values(Unread::Silent, Unread::Cut)] unread: Unread,
) {
    World::run(async move {
        let subnet = next_subnet();
        let [one, two] = [101, 102].map(|last| Ipv4Addr::new(127, 0, subnet, last));
        let writer = Backend::start_at("w1", one, CUT_AFTER_THREE).await;
        let desk = Backend::start_at("d1", two, CUT_AFTER_THREE).await;
        let catalogue = TestCatalogue::default();
        catalogue.write(CatalogueEvent::Deployment(deployment(1, vec![split(before)])));
        for backend in [&writer, &desk] {
            let change = ListingChange::Upserted(listed(backend));
            catalogue.write(CatalogueEvent::Listing(change));
        }
        let mut entries = Vec::new();
        for last in [11, 12] {
            let peers = SocketAddr::from((Ipv4Addr::new(127, 0, subnet, last), 45_000));
            let delays =
                CatalogueDelays { configuration_ms: 2_000, draining_ms: 2_000, contact_ms: 3_000 };
            let linked = catalogue.with_own_link();
            entries.push(World::start_with_peers(linked, delays, peers).await);
        }
        tokio::time::sleep(WINDOW).await;
        // A change ends the open calls, so that the next ones have just begun.
        let same = deployment(2, vec![split(before)]);
        catalogue.write(CatalogueEvent::Deployment(same));
        tokio::time::sleep(Duration::from_millis(25)).await;
        match unread {
            Unread::Silent => entries[1].catalogue.silence_connection(Topic::Operators),
            Unread::Cut => entries[1].catalogue.set_cut(true),
        }
        let next = deployment(3, vec![split(after)]);
        catalogue.write(CatalogueEvent::Deployment(next));
        // Less than the time in which a configuration has to be in force.
        tokio::time::sleep(Duration::from_millis(500)).await;
        begin(&entries[0], "a").await;
        assert_eq!([writer.arrivals(), desk.arrivals()], [0, 2]);

        take_up(&entries[1], "a").await;

        assert_eq!(writer.arrivals(), 0, "a joined stream");
    });
}

/// A stream that nobody knows goes on soon at the only service of its route, though the configuration has
/// to be read again for that.
#[test]
fn unmoved_stream_goes_on() {
    World::run(async {
        let site = start().await;
        tokio::time::sleep(WINDOW).await;
        let began_at = tokio::time::Instant::now();

        assert_eq!((take_up(&site.entries[0], "a").await, arrivals(&site)), (200, [1, 0]));

        let elapsed = began_at.elapsed();
        assert!(elapsed <= Duration::from_secs(1), "{elapsed:?}");
    });
}

/// Calls to the catalogue are priced: entries that find their routes in the row write nothing. A
/// restore from a copy without the row makes them write it again.
#[test]
fn kept_routes_written_again() {
    World::run(async {
        let site = PowerSite::start_with_routes(1, vec![split([1, 0])]).await;
        site.list(0, "v1");
        let settle = async || tokio::time::sleep(LISTING_DELAY * 2).await;
        site.run_vms(0..2, false, async |_| settle().await).await;
        let written = site.catalogue.route_writes.get();
        assert!((1..=2).contains(&written), "{written} writes of 2 entries");

        site.run_vms(0..2, false, async |_| {
            settle().await;
            assert_eq!(site.catalogue.route_writes.get(), written);

            site.catalogue.restore(site.catalogue.version());
            assert_eq!(site.catalogue.route_row().version, 0);
            settle().await;
            assert!(site.catalogue.route_row().version > 0, "the row is missing");
        })
        .await;
    });
}
