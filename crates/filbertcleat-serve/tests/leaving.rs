//! Servers that announce that they are leaving.

mod support;

use filbertcleat_serve::AgentUpdate;
use filbertcleat_serve::Fact;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::LeavingMark;
use filbertcleat_serve::ListedServer;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::Placement;
use filbertcleat_serve::QueueWait;
use filbertcleat_serve::RequestQueue;
use filbertcleat_serve::WaitCause;
use filbertcleat_serve::place_engine;
use filbertcleat_serve::place_plain;
use rstest::rstest;

use self::support::agent_update;
use self::support::at;
use self::support::demand;
use self::support::engine_spec;
use self::support::fleet;
use self::support::id;
use self::support::listed;
use self::support::local_domain;

fn place(fleet: &Fleet, adapter: &str) -> Placement {
    let demand = demand(adapter, 500);
    let wait = QueueWait::default();
    place_engine(at(0), fleet, &engine_spec(), &demand, &local_domain(), &[], wait)
}

#[test]
fn holder_leaves() {
    let mut fleet = fleet(at(0), &[("a", &["x"]), ("b", &[])]);
    assert_eq!(place(&fleet, "x"), Placement::Send(id("a")));

    assert_eq!(fleet.on_leaving(at(0), &id("a"), 1).len(), 1);

    assert_eq!(place(&fleet, "x"), Placement::AwaitLoad(id("b")));
    assert!(fleet.on_leaving(at(0), &id("a"), 1).is_empty(), "the announcement is known");
}

#[test]
fn last_server_leaves() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);

    fleet.on_leaving(at(0), &id("a"), 1);

    assert_eq!(place(&fleet, "x"), Placement::NoEngine);
    assert_eq!(place_plain(at(0), &fleet, &demand("x", 500), &local_domain(), &[]), None);
}

/// Guards against a damaged or forged datagram that makes all later starts of a server leave.
#[rstest]
#[case::far_future(&[1], u64::MAX, false)]
#[case::after_bound(&[1], 101, false)]
#[case::within_bound(&[1], 100, true)]
#[case::listed(&[200], 200, true)]
#[case::replaced_later(&[1, 140], 150, false)]
fn start_believed(#[case] starts: &[u64], #[case] announced: u64, #[case] is_leaving: bool) {
    let mut fleet = Fleet::default();
    let list = |fleet: &mut Fleet, started_unix_ms| {
        let listed = ListedServer { started_unix_ms, ..listed("a") };
        fleet.apply_listing(at(0), ListingChange::Upserted(listed));
    };
    list(&mut fleet, starts[0]);
    let mark = LeavingMark { server: id("a"), started_unix_ms: announced, age_ms: 0 };

    fleet.merge_facts(at(1), &[Fact::Leaving(mark)], 100);

    for start in &starts[1..] {
        list(&mut fleet, *start);
    }
    assert_eq!(fleet.server(&id("a")).expect("listed").is_leaving(), is_leaving);
}

/// A server that another process lists or that an older copy of the catalogue lists again.
#[test]
fn announced_before_listed() {
    let mut fleet = Fleet::default();
    fleet.on_leaving(at(0), &id("a"), 1);

    fleet.apply_listing(at(10), ListingChange::Upserted(listed("a")));

    assert_eq!(place(&fleet, "x"), Placement::NoEngine);
}

/// A server may start again under its id. Its start time shows which start is meant.
#[rstest]
#[case::same_start(1, 1, true)]
#[case::later_start(1, 2, false)]
#[case::row_of_earlier_start(2, 1, true)]
#[case::unknown_start(0, 2, true)]
#[case::row_without_start(1, 0, true)]
fn start_decides(#[case] announced: u64, #[case] in_row: u64, #[case] is_leaving: bool) {
    let mut fleet = Fleet::default();
    let row = ListedServer { started_unix_ms: in_row, ..listed("a") };
    fleet.apply_listing(at(0), ListingChange::Upserted(row.clone()));
    fleet.on_leaving(at(0), &id("a"), announced);
    assert_eq!(fleet.server(&id("a")).expect("listed").is_leaving(), is_leaving);

    fleet.apply_listing(at(0), ListingChange::Removed(id("a")));
    fleet.apply_listing(at(0), ListingChange::Upserted(row));

    assert_eq!(fleet.server(&id("a")).expect("listed").is_leaving(), is_leaving);
}

#[test]
fn learned_from_agent() {
    let mut fleet = fleet(at(0), &[("a", &["x"]), ("b", &[])]);
    let update = AgentUpdate { is_leaving: true, ..agent_update("a", 2, &["x"]) };

    fleet.apply_update(at(0), update);

    assert_eq!(place(&fleet, "x"), Placement::AwaitLoad(id("b")));
}

/// A request that waits for a load at a server that announces its leaving goes to another one.
#[test]
fn queued_request_moves() {
    let mut fleet = fleet(at(0), &[("a", &[]), ("b", &[])]);
    let mut queue = RequestQueue::new(1);
    let ticket = queue.push(at(0), demand("x", 500), Vec::new());
    let spec = engine_spec();
    queue.dispatch(at(0), &mut fleet, &local_domain(), |_| Some(&spec));
    let loader = ["a", "b"].into_iter().find(|name| !queue.adapter_demand(&id(name)).is_empty());
    let loader = loader.expect("a server is to load the adapter");
    let other = if loader == "a" { "b" } else { "a" };

    fleet.on_leaving(at(5), &id(loader), 1);
    queue.dispatch(at(5), &mut fleet, &local_domain(), |_| Some(&spec));

    assert_eq!(queue.wait_cause(ticket), Some(WaitCause::AdapterLoad));
    assert!(queue.adapter_demand(&id(loader)).is_empty());
    assert_eq!(queue.adapter_demand(&id(other)).len(), 1);
}
