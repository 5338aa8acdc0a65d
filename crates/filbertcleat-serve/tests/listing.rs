//! How catalogue records, agent updates and failures change the fleet.

mod support;

use filbertcleat_serve::AttemptOutcome;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::ListedServer;
use filbertcleat_serve::ListingChange;

use self::support::agent_update;
use self::support::at;
use self::support::demand;
use self::support::fleet;
use self::support::id;
use self::support::listed;

fn server_ids(fleet: &Fleet) -> Vec<&str> {
    fleet.servers().map(|server| server.listed.id.as_str()).collect()
}

#[test]
fn snapshot_replaces_servers() {
    let mut fleet = fleet(at(0), &[("a", &[]), ("b", &[])]);

    fleet.apply_listing(at(10), ListingChange::Snapshot(vec![listed("b"), listed("c")]));

    assert_eq!(server_ids(&fleet), ["b", "c"]);
}

#[test]
fn invalid_record_removes() {
    let mut fleet = fleet(at(0), &[("a", &[]), ("b", &[])]);

    fleet.apply_listing(at(10), ListingChange::Invalid(id("a")));

    assert_eq!(server_ids(&fleet), ["b"]);
}

/// The removal of a server that was never listed here shows that its version is unknown.
#[test]
fn unseen_removal_told_once() {
    let mut fleet = fleet(at(0), &[("a", &[]), ("b", &[])]);
    fleet.apply_listing(at(10), ListingChange::Removed(id("a")));
    fleet.apply_listing(at(20), ListingChange::Removed(id("a")));
    fleet.apply_listing(at(30), ListingChange::Invalid(id("b")));
    fleet.apply_listing(at(40), ListingChange::Removed(id("b")));
    assert!(!fleet.take_unseen_removal(), "both were known");

    fleet.apply_listing(at(50), ListingChange::Removed(id("c")));

    assert!(fleet.take_unseen_removal());
    assert!(!fleet.take_unseen_removal());
}

#[test]
fn draining_is_unusable() {
    let mut fleet = fleet(at(0), &[("a", &[])]);

    fleet.apply_listing(
        at(10),
        ListingChange::Upserted(ListedServer { is_draining: true, ..listed("a") }),
    );

    assert!(!fleet.server(&id("a")).expect("listed").is_usable(at(10)));
}

#[test]
fn restart_resets_state() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    fleet.on_sent(at(1), &id("a"), &demand("x", 100));

    fleet.apply_listing(
        at(2),
        ListingChange::Upserted(ListedServer { started_unix_ms: 2, ..listed("a") }),
    );

    let server = fleet.server(&id("a")).expect("listed");
    assert_eq!(server.open_requests, 0);
    assert_eq!(server.loaded_version(&support::key("x")), None);
    // The end of a request from before the restart must not change the new count.
    fleet.on_ended(at(3), &id("a"), &demand("x", 100), AttemptOutcome::Broken);
    assert_eq!(fleet.server(&id("a")).expect("listed").open_requests, 0);
}

#[test]
fn outdated_update_ignored() {
    let mut fleet = fleet(at(0), &[("a", &[])]);
    fleet.apply_update(at(1), agent_update("a", 5, &["new"]));

    fleet.apply_update(at(2), agent_update("a", 4, &["old"]));

    let server = fleet.server(&id("a")).expect("listed");
    assert!(server.has_adapter(&support::key("new"), 1));
    assert!(!server.has_adapter(&support::key("old"), 1));
}

#[test]
fn restarted_agent_updates() {
    let mut fleet = fleet(at(0), &[("a", &[])]);
    fleet.apply_update(at(1), agent_update("a", 500, &["before"]));

    let mut first = agent_update("a", 1, &["after"]);
    first.agent = 2;
    fleet.apply_update(at(2), first);

    assert!(fleet.server(&id("a")).expect("listed").has_adapter(&support::key("after"), 1));
}

#[test]
fn backoff_doubles() {
    let mut fleet = fleet(at(0), &[("a", &[])]);
    let fail = |fleet: &mut Fleet, now| {
        fleet.on_sent(at(now), &id("a"), &demand("x", 10));
        fleet.on_ended(at(now), &id("a"), &demand("x", 10), AttemptOutcome::Unreachable);
    };
    let is_usable = |fleet: &Fleet, now| fleet.server(&id("a")).expect("listed").is_usable(at(now));

    fail(&mut fleet, 0);
    assert!(!is_usable(&fleet, 249));
    assert!(is_usable(&fleet, 250));
    fail(&mut fleet, 250);
    assert!(!is_usable(&fleet, 749));
    assert!(is_usable(&fleet, 750));

    fleet.on_sent(at(800), &id("a"), &demand("x", 10));
    fleet.on_ended(at(800), &id("a"), &demand("x", 10), AttemptOutcome::Answered);
    fail(&mut fleet, 1_000);
    assert!(is_usable(&fleet, 1_250), "an answer resets the backoff");
}

#[test]
fn silent_server_avoided() {
    let mut fleet = fleet(at(0), &[("a", &[])]);
    fleet.on_sent(at(0), &id("a"), &demand("x", 10));
    let is_usable = |fleet: &Fleet, now| fleet.server(&id("a")).expect("listed").is_usable(at(now));

    assert!(is_usable(&fleet, 1_500));
    assert!(!is_usable(&fleet, 1_501));
    fleet.on_bytes_received(at(1_600), &id("a"), &demand("x", 10), 1_600);
    assert!(is_usable(&fleet, 1_601));
}
