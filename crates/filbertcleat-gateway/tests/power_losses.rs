//! Streams of two software versions after all entries and agents have lost power at once.

mod support;

use std::time::Duration;

use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::OriginRow;
use filbertcleat_serve::OriginRowContent;
use tokio::task::spawn_local;

use self::support::Call;
use self::support::PowerSite;
use self::support::World;
use self::support::power_site::begin;
use self::support::power_site::take_up;
use self::support::power_site::take_up_at;
use self::support::site::LISTING_DELAY;

/// More than the time between two writes of a row.
const ROW_DELAY: Duration = Duration::from_millis(600);

/// The servers of the old version leave while the machines are down. Without a record of the old
/// version, a stream that it began would go on at the new one.
#[test]
fn old_version_left() {
    World::run(async {
        let site = PowerSite::start(2).await;
        site.list(0, "v1");
        site.run_vms(0..3, true, async |worlds| {
            begin(&worlds[0], "a").await;
            site.list(1, "v2");
            tokio::time::sleep(LISTING_DELAY).await;
        })
        .await;
        site.unlist(0);
        site.mend_streams();

        let statuses = site
            .run_vms(0..3, true, async |worlds| {
                [
                    take_up(&worlds[0], "a").await,
                    take_up(&worlds[1], "a").await,
                    take_up(&worlds[2], "a").await,
                ]
            })
            .await;

        assert_eq!((statuses, site.taken_up()), ([503; 3], (0, 0)));
    });
}

/// While two versions serve, streams that began before the loss go on at their version, though all
/// callers come back at once. Without a record, all of them would be refused.
#[test]
fn streams_go_on() {
    const STREAMS: usize = 30;
    World::run(async {
        let site = PowerSite::start(4).await;
        let ids: Vec<&'static str> =
            (0..STREAMS).map(|number| &*format!("s{number}").leak()).collect();
        site.list(0, "v1");
        site.list(1, "v1");
        site.run_vms(0..3, true, async |worlds| {
            for (number, id) in ids.iter().enumerate() {
                if number == STREAMS / 3 {
                    site.list(2, "v2");
                    site.list(3, "v2");
                    site.unlist(1);
                    tokio::time::sleep(LISTING_DELAY).await;
                }
                begin(&worlds[number % 3], id).await;
            }
            tokio::time::sleep(ROW_DELAY).await;
        })
        .await;
        site.list(1, "v1");
        site.mend_streams();

        let resumed = site
            .run_vms(0..3, true, async |worlds| {
                let lists_before = site.catalogue.origin_lists.get();
                let calls = ids.iter().enumerate().map(|(number, id)| {
                    let (callers, id) = (worlds[(number + 1) % 3].callers, *id);
                    spawn_local(async move { take_up_at(callers, id).await })
                });
                let calls: Vec<_> = calls.collect();
                let mut resumed = 0;
                for call in calls {
                    resumed += usize::from(call.await.expect("the call ends") == 200);
                }
                let lists = site.catalogue.origin_lists.get() - lists_before;
                assert!(lists <= 3, "{lists} lists by 3 entries within a second");
                resumed
            })
            .await;

        let begun_new = site.backends[2].arrivals() + site.backends[3].arrivals();
        assert!(begun_new > 0, "no stream began at the new version");
        // All new streams begin, so that at least half of these have to go on.
        assert!(resumed * 2 >= STREAMS, "{resumed} of {STREAMS} went on");
        assert_eq!(site.taken_up(), (resumed, 0));
    });
}

/// Nodes come back at other addresses under other names, so that nobody writes the rows of before.
#[test]
fn replaced_nodes_read_rows() {
    World::run(async {
        let site = two_versions().await;
        site.run_vms(0..2, true, async |worlds| {
            begin(&worlds[0], "a").await;
            tokio::time::sleep(ROW_DELAY).await;
        })
        .await;
        site.mend_streams();

        let status = site.run_vms(5..7, true, async |worlds| take_up(&worlds[1], "a").await).await;

        assert_eq!((status, site.taken_up()), (200, (1, 0)));
    });
}

/// A node that comes back must not replace its row by one without the streams of before, as a second
/// loss would cost them.
#[test]
fn second_loss_survived() {
    World::run(async {
        let site = two_versions().await;
        site.run_vms(0..1, true, async |worlds| {
            begin(&worlds[0], "a").await;
            tokio::time::sleep(ROW_DELAY).await;
        })
        .await;
        site.run_vms(0..1, true, async |worlds| {
            begin(&worlds[0], "b").await;
            tokio::time::sleep(ROW_DELAY).await;
        })
        .await;
        site.mend_streams();

        let statuses = site
            .run_vms(0..1, true, async |worlds| {
                [take_up(&worlds[0], "a").await, take_up(&worlds[0], "b").await]
            })
            .await;

        assert_eq!((statuses, site.taken_up()), ([200; 2], (2, 0)));
    });
}

/// A stream that began within the last 250 ms is in no row. It must be refused rather than joined,
/// also if only one version is listed then.
#[test]
fn last_moment_refused() {
    World::run(async {
        let site = two_versions().await;
        site.run_vms(0..1, true, async |worlds| {
            begin(&worlds[0], "a").await;
            begin(&worlds[0], "b").await;
        })
        .await;
        site.mend_streams();
        let begun_at_first = site.backends[0].arrivals() > 0;
        site.unlist(usize::from(!begun_at_first));

        let status = site.run_vms(0..1, true, async |worlds| take_up(&worlds[0], "b").await).await;

        assert_eq!((status, site.taken_up()), (503, (0, 0)));
    });
}

/// The catalogue is restored from a copy that lacks the newest rows; entries write them again before
/// they lose power.
#[test]
fn restored_copy_completed() {
    World::run(async {
        let site = two_versions().await;
        site.run_vms(0..2, true, async |worlds| {
            begin(&worlds[0], "a").await;
            tokio::time::sleep(ROW_DELAY).await;
            site.catalogue.restore(site.catalogue.version());
            assert!(site.catalogue.origin_rows().is_empty());
            tokio::time::sleep(LISTING_DELAY).await;
        })
        .await;
        site.mend_streams();

        let status = site.run_vms(0..2, true, async |worlds| take_up(&worlds[1], "a").await).await;

        assert_eq!((status, site.taken_up()), (200, (1, 0)));
    });
}

/// Rows of another writer hide versions. They cost neither the streams in other rows nor a join.
#[test]
fn unreadable_row_tolerated() {
    World::run(async {
        let site = PowerSite::start(2).await;
        site.list(0, "v1");
        let foreign = OriginRow { node: "other".into(), version: 3, content: None };
        site.catalogue.write(CatalogueEvent::Origins(foreign));
        site.run_vms(0..1, true, async |worlds| {
            site.list(1, "v2");
            tokio::time::sleep(LISTING_DELAY).await;
            begin(&worlds[0], "a").await;
            tokio::time::sleep(ROW_DELAY).await;
        })
        .await;
        site.mend_streams();

        let statuses = site
            .run_vms(0..1, true, async |worlds| {
                [take_up(&worlds[0], "a").await, take_up(&worlds[0], "nobody").await]
            })
            .await;

        assert_eq!((statuses, site.taken_up()), ([200, 503], (1, 0)));
    });
}

/// During an outage of the catalogue, agents still tell origins. What began during the outage and is
/// known to nobody after a loss is refused.
#[test]
fn outage_during_release() {
    World::run(async {
        let site = two_versions().await;
        let asked = site
            .run_vms(0..2, true, async |worlds| {
                site.catalogue.set_down(true);
                begin(&worlds[0], "a").await;
                begin(&worlds[0], "b").await;
                tokio::time::sleep(ROW_DELAY).await;
                site.mend_streams();
                take_up(&worlds[1], "a").await
            })
            .await;
        site.catalogue.set_down(false);

        let lost = site.run_vms(0..2, true, async |worlds| take_up(&worlds[1], "b").await).await;

        assert_eq!((asked, lost, site.taken_up()), (200, 503, (1, 0)));
    });
}

/// Without agents, the rows of other entries decide. A list that fails or is slow refuses the
/// stream for the moment only.
#[test]
fn late_rows_refuse_for_a_moment() {
    World::run(async {
        let site = two_versions().await;
        site.run_vms(0..2, false, async |worlds| {
            begin(&worlds[0], "a").await;
            tokio::time::sleep(ROW_DELAY).await;
            site.mend_streams();

            site.catalogue.set_down(true);
            assert_eq!(take_up(&worlds[1], "a").await, 503);
            site.catalogue.set_down(false);
            tokio::time::sleep(LISTING_DELAY).await;
            site.catalogue.origin_delay.set(Duration::from_secs(1));
            let began_at = tokio::time::Instant::now();
            assert_eq!(take_up(&worlds[1], "a").await, 503);
            // Two questions to agents of 60 ms each, and 500 ms for the list.
            let elapsed = began_at.elapsed();
            assert!(elapsed <= Duration::from_millis(620), "{elapsed:?}");
            site.catalogue.origin_delay.set(Duration::ZERO);
            tokio::time::sleep(LISTING_DELAY).await;

            assert_eq!(take_up(&worlds[1], "a").await, 200);
        })
        .await;
        assert_eq!(site.taken_up(), (1, 0));
    });
}

/// Calls to the catalogue are priced. A deployment with one version lists the rows once after a
/// start, when a stream is taken up that nobody knows, and writes nothing.
#[test]
fn single_version_lists_once() {
    World::run(async {
        let site = PowerSite::start(2).await;
        site.list(0, "v1");
        site.list(1, "v1");
        site.run_vms(0..1, false, async |worlds| {
            begin(&worlds[0], "a").await;
            tokio::time::sleep(Duration::from_secs(70)).await;
            assert_eq!(site.catalogue.origin_lists.get(), 0);
            site.mend_streams();
            assert_eq!(take_up(&worlds[0], "nobody").await, 200);
            assert_eq!(site.catalogue.origin_lists.get(), 0);
        })
        .await;

        site.run_vms(0..1, false, async |worlds| {
            for id in ["b", "c", "d"] {
                assert_eq!(take_up(&worlds[0], id).await, 200);
                tokio::time::sleep(LISTING_DELAY).await;
            }
            let lookups = worlds[0].metric("filbertcleat_origin_lookups{outcome=\"single\"}").await;
            assert_eq!(lookups, Some(3));
        })
        .await;

        assert_eq!(site.catalogue.origin_lists.get(), 1);
        assert!(site.catalogue.origin_writes.borrow().is_empty());
    });
}

/// Streams that begin within 250 ms share a write.
#[test]
fn writes_are_spaced() {
    World::run(async {
        let site = two_versions().await;
        site.run_vms(0..1, true, async |worlds| {
            // Each stream takes 100 ms.
            site.mend_streams();
            for number in 0..15 {
                let call = Call::new(format!("s{number}").leak(), "/write/1");
                let reply = worlds[0].caller().await.call(&call).await.expect("a response");
                assert!(reply.is_complete, "{reply:?}");
            }
        })
        .await;

        let writes = site.catalogue.origin_writes.borrow();
        assert!(writes.len() > 2, "{} writes", writes.len());
        let gaps = writes.windows(2).map(|pair| pair[1] - pair[0]);
        let shortest = gaps.min().expect("several writes");
        assert!(shortest >= Duration::from_millis(250), "{shortest:?}");
    });
}

/// Rows of nodes that are gone are removed by an entry that reads them.
#[test]
fn outdated_rows_removed() {
    World::run(async {
        let site = two_versions().await;
        let content = OriginRowContent { age_ms: 121_000, ..OriginRowContent::default() };
        let gone = OriginRow { node: "gone".into(), version: 3, content: Some(content) };
        site.catalogue.write(CatalogueEvent::Origins(gone));

        site.run_vms(0..1, true, async |_| tokio::time::sleep(ROW_DELAY).await).await;

        let nodes: Vec<_> =
            site.catalogue.origin_rows().into_iter().map(|row| row.node.to_string()).collect();
        assert_eq!(nodes, [format!("entry-127.0.{}.11", site.subnet)]);
    });
}

/// Returns a site whose servers run two versions from the start.
async fn two_versions() -> PowerSite {
    let site = PowerSite::start(2).await;
    site.list(0, "v1");
    site.list(1, "v2");
    site
}
