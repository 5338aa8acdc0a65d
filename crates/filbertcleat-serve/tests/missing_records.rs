//! How long servers are used whose records are missing after a loss of the catalogue.

mod support;

use filbertcleat_serve::Fleet;
use filbertcleat_serve::ListingChange;
use rstest::rstest;

use self::support::at;
use self::support::fleet;
use self::support::id;
use self::support::listed;

const CONTACT_MS: u64 = 3_000;

fn server_ids(fleet: &Fleet) -> Vec<&str> {
    fleet.servers().map(|server| server.listed.id.as_str()).collect()
}

fn remove(fleet: &mut Fleet, now: u64, name: &str) {
    fleet.apply_listing(at(now), ListingChange::Removed(id(name)));
}

/// Records that calls fail, one each second from the last read of the list on.
fn lose(fleet: &mut Fleet, read_at: u64, regained_at: u64) {
    fleet.on_listing_read(at(read_at), at(read_at));
    for failed_at in (read_at + 1_000..=regained_at).step_by(1_000) {
        fleet.on_catalogue_lost(at(failed_at), CONTACT_MS);
    }
    fleet.on_catalogue_regained(at(regained_at));
}

#[test]
fn expired_after_outage() {
    let mut fleet = fleet(at(0), &[("alive", &[]), ("dead", &[])]);

    lose(&mut fleet, 1_000, 10_000);
    fleet.apply_listing(at(10_001), ListingChange::Snapshot(Vec::new()));
    fleet.expire_unlisted(at(11_900));
    assert_eq!(server_ids(&fleet), ["alive", "dead"], "records may be missing after an outage");

    fleet.apply_listing(at(11_950), ListingChange::Upserted(listed("alive")));
    fleet.expire_unlisted(at(12_500));
    assert_eq!(server_ids(&fleet), ["alive"], "a record that stays missing removes its server");
}

#[test]
fn grace_outlasts_outages() {
    let mut fleet = fleet(at(0), &[("alive", &[])]);
    lose(&mut fleet, 1_000, 10_000);
    fleet.apply_listing(at(10_001), ListingChange::Snapshot(Vec::new()));

    fleet.on_listing_read(at(10_001), at(10_000));
    for failed_at in [11_500, 12_500, 13_500, 14_500] {
        fleet.on_catalogue_lost(at(failed_at), CONTACT_MS);
        fleet.expire_unlisted(at(failed_at + 900));
        assert_eq!(server_ids(&fleet), ["alive"], "the server could not write its record");
    }
    fleet.on_catalogue_regained(at(14_600));
    fleet.expire_unlisted(at(16_400));
    assert_eq!(server_ids(&fleet), ["alive"], "the grace time begins again");

    fleet.expire_unlisted(at(17_000));
    assert!(server_ids(&fleet).is_empty());
}

/// Guards against requests to servers that left while this process alone had no calls: from
/// `contact_ms` after the loss it is in touch. One call failed, on a connection that went silent
/// right after the last read; no other server has written since.
#[rstest]
#[case::small(3_000)]
#[case::grown(4_000)]
#[case::large(5_000)]
#[case::short(1_500)]
fn silent_loss_ends_in_touch(#[case] contact_ms: u64) {
    let mut fleet = fleet(at(0), &[("a", &[]), ("b", &[])]);
    fleet.on_listing_read(at(10_000), at(10_000));
    fleet.on_catalogue_lost(at(10_000 + contact_ms * 5 / 6), contact_ms);
    fleet.on_catalogue_regained(at(10_000 + contact_ms * 5 / 6));
    remove(&mut fleet, 10_000 + contact_ms * 5 / 6, "a");

    fleet.expire_unlisted(at(10_000 + contact_ms));

    assert_eq!(server_ids(&fleet), ["b"]);
}

/// The same after a cut, in which several calls have failed. It ended after the last of them began, at
/// 6,000.
#[test]
fn cut_ends_in_touch() {
    let mut fleet = fleet(at(0), &[("a", &[]), ("b", &[])]);
    lose(&mut fleet, 1_000, 7_900);
    remove(&mut fleet, 7_900, "a");

    fleet.expire_unlisted(at(8_900));
    assert_eq!(server_ids(&fleet), ["a", "b"], "it may have been an outage for all");
    fleet.expire_unlisted(at(9_000));

    assert_eq!(server_ids(&fleet), ["b"]);
}

/// Servers that wrote after a removal show that the catalogue was there for all of them.
#[test]
fn others_outlive_missing() {
    let mut fleet = fleet(at(0), &[("a", &[]), ("b", &[]), ("c", &[]), ("d", &[]), ("e", &[])]);
    lose(&mut fleet, 1_000, 8_000);
    for name in ["b", "c"] {
        fleet.apply_listing(at(8_000), ListingChange::Upserted(listed(name)));
    }
    remove(&mut fleet, 8_000, "a");
    for name in ["d", "e"] {
        fleet.apply_listing(at(8_000), ListingChange::Upserted(listed(name)));
    }
    fleet.on_listing_read(at(8_000), at(8_000));
    assert!(fleet.has_unlisted(), "two of four have written since");

    fleet.apply_listing(at(8_300), ListingChange::Upserted(listed("b")));
    fleet.on_listing_read(at(8_300), at(8_300));

    assert_eq!(server_ids(&fleet), ["b", "c", "d", "e"]);
}

/// Records that expired in an outage of the catalogue come back one by one, which shows nothing of
/// those that are still missing.
#[test]
fn returning_records_wait() {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let servers = names.map(|name| (name, &[][..]));
    let mut fleet = fleet(at(0), &servers);
    lose(&mut fleet, 1_000, 10_000);
    for name in names {
        remove(&mut fleet, 10_000, name);
    }

    for (back, name) in names.into_iter().enumerate() {
        let now = 10_100 + 150 * back as u64;
        fleet.apply_listing(at(now), ListingChange::Upserted(listed(name)));
        fleet.on_listing_read(at(now), at(now));
        if back < 4 {
            assert_eq!(fleet.servers().len(), 8, "{name} is back");
        }
    }

    assert!(!fleet.has_unlisted());
    assert_eq!(server_ids(&fleet), names);
}

/// Guards against the removal of a server whose record comes back right after the grace time, before the
/// servers that are still missing have been removed.
#[test]
fn late_record_counts() {
    let mut fleet = fleet(at(0), &[("a", &[]), ("b", &[])]);
    lose(&mut fleet, 1_000, 10_000);
    for name in ["a", "b"] {
        remove(&mut fleet, 10_000, name);
    }

    fleet.apply_listing(at(12_300), ListingChange::Upserted(listed("a")));
    fleet.on_listing_read(at(12_300), at(12_290));

    assert_eq!(server_ids(&fleet), ["a"]);
}

/// An ordinary removal takes effect at once.
#[test]
fn removal_without_loss() {
    let mut fleet = fleet(at(0), &[("a", &[]), ("b", &[])]);
    fleet.on_listing_read(at(1_000), at(1_000));

    remove(&mut fleet, 2_000, "a");

    assert_eq!(server_ids(&fleet), ["b"]);
}
