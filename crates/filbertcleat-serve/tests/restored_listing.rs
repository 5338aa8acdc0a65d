//! How the fleet reads a catalogue that was restored from a copy.

mod support;

use filbertcleat_serve::Fleet;
use filbertcleat_serve::ListedServer;
use filbertcleat_serve::ListingChange;
use rstest::rstest;

use self::support::agent_update;
use self::support::at;
use self::support::fleet;
use self::support::id;
use self::support::key;
use self::support::listed;

fn has(fleet: &Fleet, name: &str) -> bool {
    fleet.server(&id(name)).is_some()
}

/// Restores the catalogue at a time, with a copy that lists one server.
fn restore(fleet: &mut Fleet, now: u64, record: ListedServer) {
    fleet.on_catalogue_restored(at(now), 3_000, 2_000);
    fleet.apply_listing(at(now), ListingChange::Snapshot(vec![record]));
}

#[test]
fn draining_is_final() {
    let mut fleet = fleet(at(0), &[("a", &[])]);
    let draining = ListedServer { is_draining: true, ..listed("a") };
    fleet.apply_listing(at(1_000), ListingChange::Upserted(draining));

    restore(&mut fleet, 5_000, listed("a"));
    assert!(!fleet.server(&id("a")).expect("listed").is_usable(at(5_000)));

    let restarted = ListedServer { started_unix_ms: 2, ..listed("a") };
    fleet.apply_listing(at(9_000), ListingChange::Upserted(restarted));
    assert!(fleet.server(&id("a")).expect("listed").is_usable(at(9_000)), "another start");
}

#[test]
fn earlier_start_ignored() {
    let mut fleet = fleet(at(0), &[]);
    let current = ListedServer { started_unix_ms: 50, ..listed("a") };
    fleet.apply_listing(at(0), ListingChange::Upserted(current));
    fleet.apply_update(at(1), agent_update("a", 1, &["x"]));

    restore(&mut fleet, 5_000, ListedServer { started_unix_ms: 20, ..listed("a") });

    let server = fleet.server(&id("a")).expect("listed");
    assert_eq!(server.listed.started_unix_ms, 50);
    assert!(server.has_adapter(&key("x"), 1), "nothing is forgotten");
}

#[test]
fn removed_server_held_back() {
    let mut fleet = fleet(at(0), &[("a", &[])]);
    fleet.apply_listing(at(1_000), ListingChange::Removed(id("a")));

    restore(&mut fleet, 5_000, listed("a"));
    assert!(!has(&fleet, "a"), "the record is that of a server that left");

    fleet.apply_listing(at(6_000), ListingChange::Upserted(listed("a")));
    assert!(has(&fleet, "a"), "the server wrote its record again");
}

#[test]
fn silent_server_removed() {
    let mut fleet = fleet(at(0), &[("a", &[])]);
    fleet.apply_listing(at(1_000), ListingChange::Removed(id("a")));

    restore(&mut fleet, 5_000, listed("a"));
    fleet.apply_listing(at(9_000), ListingChange::Removed(id("a")));
    fleet.list_held_back(at(60_000));

    assert!(!has(&fleet, "a"));
}

#[test]
fn restored_twice() {
    let mut fleet = fleet(at(0), &[("a", &[])]);
    fleet.apply_listing(at(1_000), ListingChange::Removed(id("a")));

    restore(&mut fleet, 5_000, listed("a"));
    fleet.apply_listing(at(6_000), ListingChange::Removed(id("a")));
    restore(&mut fleet, 9_000, listed("a"));

    assert!(!has(&fleet, "a"));
}

#[test]
fn lasting_record_listed() {
    let mut fleet = fleet(at(0), &[("a", &[])]);
    fleet.apply_listing(at(1_000), ListingChange::Removed(id("a")));

    restore(&mut fleet, 5_000, listed("a"));
    fleet.list_held_back(at(8_000));
    assert!(!has(&fleet, "a"));
    fleet.list_held_back(at(20_000));

    assert!(has(&fleet, "a"), "the catalogue would have removed the record of a silent server");
}

#[rstest]
#[case::earlier(0, false)]
#[case::same(1, false)]
#[case::later(2, true)]
fn starts_compared(#[case] started_unix_ms: u64, #[case] is_listed: bool) {
    let mut fleet = fleet(at(0), &[("a", &[])]);
    fleet.apply_listing(at(1_000), ListingChange::Removed(id("a")));

    restore(&mut fleet, 5_000, ListedServer { started_unix_ms, ..listed("a") });

    assert_eq!(has(&fleet, "a"), is_listed);
}

#[test]
fn removal_after_restore() {
    let mut fleet = fleet(at(0), &[("a", &[]), ("b", &[])]);
    restore(&mut fleet, 5_000, listed("b"));
    fleet.expire_unlisted(at(8_000));
    assert!(!has(&fleet, "a"), "the server did not write again in time");

    fleet.apply_listing(at(9_000), ListingChange::Snapshot(vec![listed("a"), listed("b")]));

    assert!(has(&fleet, "a"), "a record that is newer than the restore is the server's own");
}

#[test]
fn ordinary_listing_unchanged() {
    let mut fleet = fleet(at(0), &[("a", &[])]);
    fleet.apply_listing(at(1_000), ListingChange::Removed(id("a")));

    fleet.apply_listing(at(2_000), ListingChange::Snapshot(vec![listed("a")]));

    assert!(has(&fleet, "a"));
}
