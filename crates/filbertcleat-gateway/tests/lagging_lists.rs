//! Streams that callers take up at an entry whose list of backend servers is behind.

mod support;

use std::time::Duration;

use rstest::rstest;

use self::support::Call;
use self::support::PowerSite;
use self::support::TestCatalogue;
use self::support::World;
use self::support::power_site::begin;
use self::support::power_site::take_up;
use self::support::site::LISTING_DELAY;

/// The time for which the list of servers shows which versions served.
const WINDOW: Duration = Duration::from_secs(61);

/// What keeps the list of an entry behind.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// Calls to the catalogue fail.
    Cut,
    /// Responses arrive long after the catalogue has sent them.
    LateResponses,
}

impl Trouble {
    fn begin(self, catalogue: &TestCatalogue) {
        match self {
            Self::Cut => catalogue.set_cut(true),
            Self::LateResponses => catalogue.delay_servers(Duration::from_secs(3)),
        }
    }

    fn end(catalogue: &TestCatalogue) {
        catalogue.set_cut(false);
        catalogue.delay_servers(Duration::ZERO);
    }
}

/// Of a release that has just begun, the entry that takes streams up does not know. No agent tells
/// their origins.
#[rstest]
#[case::cut(Trouble::Cut)]
#[case::late_responses(Trouble::LateResponses)]
fn unseen_release_joins_nothing(#[case] trouble: Trouble) {
    const IDS: [&str; 4] = ["a", "b", "c", "d"];
    World::run(async move {
        let site = PowerSite::start(2).await;
        site.list(0, "v1");
        site.run_vms(0..2, false, async |worlds| {
            tokio::time::sleep(WINDOW).await;
            trouble.begin(&worlds[1].catalogue);
            site.list(1, "v2");
            tokio::time::sleep(LISTING_DELAY).await;
            for id in IDS {
                begin(&worlds[0], id).await;
            }
            assert!(site.backends[1].arrivals() > 0, "no stream began at the new version");
            site.mend_streams();

            for id in IDS {
                take_up(&worlds[1], id).await;
            }
            assert_eq!(site.taken_up().1, 0, "joined streams");

            Trouble::end(&worlds[1].catalogue);
            tokio::time::sleep(LISTING_DELAY * 2).await;
            for id in IDS {
                assert_eq!(take_up(&worlds[1], id).await, 200);
            }
        })
        .await;
        assert_eq!(site.taken_up().1, 0, "joined streams");
    });
}

/// A server of the next version is listed and removed between two responses on the list of the entry
/// that takes streams up. No agent tells their origins.
#[rstest]
#[case::history_read(false)]
#[case::history_lapsed(true)]
fn short_version_joins_nothing(#[case] has_lapsed: bool) {
    const IDS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
    World::run(async move {
        let site = PowerSite::start(2).await;
        site.list(0, "v1");
        site.run_vms(0..2, false, async |worlds| {
            tokio::time::sleep(WINDOW).await;
            worlds[1].catalogue.set_cut(true);
            site.list(1, "v2");
            tokio::time::sleep(LISTING_DELAY).await;
            for id in IDS {
                worlds[0].caller().await.call(&Call::new(id, "/write/1")).await;
            }
            assert!(site.backends[1].arrivals() > 0, "no stream began at the new version");
            site.unlist(1);
            worlds[0].catalogue.set_cut(true);
            worlds[1].catalogue.set_cut(false);
            for _ in 0..200 {
                if has_lapsed {
                    // A list of another topic would end that.
                    site.catalogue.expire_cursors();
                }
                tokio::time::sleep(LISTING_DELAY / 200).await;
            }
            site.mend_streams();

            for id in IDS {
                take_up(&worlds[1], id).await;
            }
        })
        .await;
        let (kept, joined) = site.taken_up();
        assert_eq!(joined, 0, "joined streams");
        assert!(kept > 0, "no stream went on");
    });
}

/// A stream whose origin nobody knows goes on soon if one version serves, though the list has to be
/// read again for that.
#[test]
fn single_version_goes_on() {
    World::run(async {
        let site = PowerSite::start(1).await;
        site.list(0, "v1");
        site.mend_streams();
        site.run_vms(0..1, false, async |worlds| {
            tokio::time::sleep(WINDOW).await;
            let began_at = tokio::time::Instant::now();

            assert_eq!(take_up(&worlds[0], "nobody").await, 200);

            let elapsed = began_at.elapsed();
            assert!(elapsed <= Duration::from_secs(1), "{elapsed:?}");
        })
        .await;
    });
}
