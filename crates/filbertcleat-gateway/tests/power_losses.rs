//! Streams of two software versions after all entries and agents have lost power at once.

mod support;

use std::time::Duration;

use self::support::PowerSite;
use self::support::World;
use self::support::power_site::begin;
use self::support::power_site::take_up;
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

/// While two versions serve, streams that began before the loss go on at their version. Without a
/// record, all of them would be refused.
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

        let mut resumed = 0;
        site.run_vms(0..3, true, async |worlds| {
            for (number, id) in ids.iter().enumerate() {
                resumed += usize::from(take_up(&worlds[(number + 1) % 3], id).await == 200);
            }
        })
        .await;

        let begun_new = site.backends[2].arrivals() + site.backends[3].arrivals();
        assert!(begun_new > 0, "no stream began at the new version");
        let (kept, joined) = site.taken_up();
        // All new streams begin, so that at least half of these have to go on.
        assert!(resumed * 2 >= STREAMS, "{resumed} of {STREAMS} went on");
        assert_eq!(kept + joined, resumed);
    });
}
