//! Which engine a request is sent to.

mod support;

use std::collections::BTreeMap;

use filbertcleat_serve::AdapterStage;
use filbertcleat_serve::EngineSpec;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::Placement;
use filbertcleat_serve::QueueWait;
use filbertcleat_serve::SendOutcome;
use filbertcleat_serve::place_engine;
use filbertcleat_serve::place_plain;

use self::support::at;
use self::support::demand;
use self::support::fleet;
use self::support::home;
use self::support::id;
use self::support::listed;
use self::support::news;
use self::support::shape;

const THREE: [(&str, &[&str]); 3] = [("a", &[]), ("b", &[]), ("c", &[])];

fn place(fleet: &Fleet, now: u64, adapter: &str, prompt: u64, waited_ms: u64) -> Placement {
    let demand = demand(adapter, prompt);
    let wait = QueueWait { waited_ms, adapter_waiters: 1, reserved: &[] };
    place_engine(at(now), fleet, &shape(), &demand, &home(), &[], wait)
}

/// Teaches the fleet how long a server takes for a token, by prompts that meet no other.
fn teach(fleet: &mut Fleet, server: &str, ms_per_1000_tokens: u64) -> u64 {
    let mut now = 0;
    for _ in 0..200 {
        let demand = demand("lesson", 1_000);
        fleet.on_sent(at(now), &id(server), &demand);
        let wait_ms = 25 + ms_per_1000_tokens;
        fleet.on_answer_started(at(now + wait_ms), &id(server), &demand, wait_ms);
        fleet.on_ended(at(now + wait_ms), &id(server), &demand, SendOutcome::Answered);
        now += 1_000;
    }
    now
}

#[test]
fn holder_preferred() {
    let fleet = fleet(at(0), &[("a", &[]), ("b", &["x"]), ("c", &[])]);

    assert_eq!(place(&fleet, 0, "x", 500, 0), Placement::Send(id("b")));
}

#[test]
fn older_version_is_none() {
    let fleet = fleet(at(0), &[("a", &["x"])]);
    let newer = filbertcleat_serve::RequestDemand { min_version: 2, ..demand("x", 500) };

    let placement =
        place_engine(at(0), &fleet, &shape(), &newer, &home(), &[], QueueWait::default());

    assert_eq!(placement, Placement::AwaitLoad(id("a")));
}

#[test]
fn newer_version_elsewhere() {
    // Whichever is the adapter's home, one that holds an older version is passed over: its runs
    // would hold the newer one up.
    for older in ["a", "b"] {
        let held: [(&str, &[&str]); 2] = [("a", &[]), ("b", &[])];
        let mut fleet = fleet(at(0), &held);
        fleet.apply_update(at(0), news(older, 2, &["x"]));
        let newer = filbertcleat_serve::RequestDemand { min_version: 2, ..demand("x", 500) };

        let placement =
            place_engine(at(0), &fleet, &shape(), &newer, &home(), &[], QueueWait::default());

        let other = if older == "a" { "b" } else { "a" };
        assert_eq!(placement, Placement::AwaitLoad(id(other)));
    }
}

#[test]
fn homes_are_shared() {
    // Two entries that see the same servers choose the same home for each adapter.
    let (one, other) = (fleet(at(0), &THREE), fleet(at(0), &THREE));
    let mut homes: BTreeMap<String, u32> = BTreeMap::new();

    for number in 0..300 {
        let adapter = format!("adapter-{number}");
        let chosen = place(&one, 0, &adapter, 500, 0);
        assert_eq!(chosen, place(&other, 0, &adapter, 500, 0));
        let Placement::AwaitLoad(server) = chosen else { panic!("nobody holds {adapter}") };
        *homes.entry(server.as_str().to_owned()).or_default() += 1;
    }

    // Each of three servers is home to a third, within four standard deviations.
    assert!(homes.values().all(|count| (67..=133).contains(count)), "{homes:?}");
}

#[test]
fn home_within_bound() {
    let mut fleet = fleet(at(0), &THREE);
    let Placement::AwaitLoad(first) = place(&fleet, 0, "x", 500, 0) else {
        panic!("nobody holds it")
    };
    let mut crowded = news(first.as_str(), 2, &[]);
    crowded.running_requests = 30;
    fleet.apply_update(at(1), crowded);

    // The mean of 10 allows 17, whatever the batch would still take.
    let roomy = EngineSpec { batch_limit: 64, ..shape() };
    let placement =
        place_engine(at(1), &fleet, &roomy, &demand("x", 500), &home(), &[], QueueWait::default());
    let Placement::AwaitLoad(second) = placement else { panic!("nobody holds it") };

    assert_ne!(first, second);
}

#[test]
fn prompts_are_paced() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    fleet.on_sent(at(0), &id("a"), &demand("x", 3_000));

    assert_eq!(place(&fleet, 100, "x", 3_000, 0), Placement::AwaitCapacity(Some(id("a"))));
    assert_eq!(place(&fleet, 301, "x", 3_000, 0), Placement::Send(id("a")));
}

#[test]
fn others_prompts_count() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    let mut told = news("a", 2, &["x"]);
    told.others_prompt_tokens = 3_000;
    fleet.apply_update(at(0), told);

    assert_eq!(place(&fleet, 1, "x", 3_000, 0), Placement::AwaitCapacity(Some(id("a"))));
    assert_eq!(place(&fleet, 301, "x", 3_000, 0), Placement::Send(id("a")));
}

#[test]
fn copy_after_patience() {
    let mut fleet = fleet(at(0), &[("a", &["x"]), ("b", &[])]);
    fleet.on_sent(at(0), &id("a"), &demand("x", 3_000));

    let place =
        |wait| place_engine(at(100), &fleet, &shape(), &demand("x", 3_000), &home(), &[], wait);
    for (waited_ms, alike, is_copied) in
        [(299, 2, false), (300, 2, true), (300, 1, false), (999, 1, false), (1_000, 1, true)]
    {
        let expected = if is_copied {
            Placement::AwaitLoad(id("b"))
        } else {
            Placement::AwaitCapacity(Some(id("a")))
        };
        assert_eq!(
            place(QueueWait { waited_ms, adapter_waiters: alike, reserved: &[] }),
            expected,
            "{waited_ms} ms, {alike} alike"
        );
    }
}

#[test]
fn coming_is_waited_for() {
    let mut fleet = fleet(at(0), &THREE);
    let Placement::AwaitLoad(home) = place(&fleet, 0, "x", 500, 0) else {
        panic!("nobody holds it")
    };
    let other = if home == id("a") { "b" } else { "a" };
    let mut coming = news(other, 2, &["x"]);
    coming.adapters[0].stage = AdapterStage::Loading;
    fleet.apply_update(at(1), coming);

    assert_eq!(place(&fleet, 1, "x", 500, 0), Placement::AwaitLoad(id(other)));
}

#[test]
fn long_prompts_go_to_quick() {
    let mut fleet = fleet(at(0), &[("quick", &["x"]), ("slow", &["x"])]);
    teach(&mut fleet, "quick", 45);
    let now = teach(&mut fleet, "slow", 70);
    for (sequence, name) in [(2, "quick"), (3, "slow")] {
        let mut busy = news(name, sequence, &["x"]);
        // The quick one is far busier, and yet the slow one's streams would pause too long.
        busy.running_requests = if name == "quick" { 6 } else { 1 };
        fleet.apply_update(at(now), busy);
    }

    assert_eq!(place(&fleet, now, "x", 4_000, 0), Placement::Send(id("quick")));
    assert_eq!(place(&fleet, now, "x", 100, 0), Placement::Send(id("slow")));
}

#[test]
fn full_batch_waits() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    let mut full = news("a", 2, &["x"]);
    full.running_requests = 8;
    fleet.apply_update(at(0), full);

    assert_eq!(place(&fleet, 0, "x", 500, 0), Placement::AwaitCapacity(Some(id("a"))));
}

#[test]
fn full_memory_waits() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    let mut full = news("a", 2, &["x"]);
    full.memory_used_tokens = 99_500;
    fleet.apply_update(at(0), full);

    assert_eq!(place(&fleet, 0, "x", 500, 0), Placement::AwaitCapacity(Some(id("a"))));
}

#[test]
fn no_load_without_agent() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    fleet.apply_listing(at(0), ListingChange::Upserted(listed("b")));

    // What a server holds can be used while its agent is away, but nothing can be loaded.
    assert_eq!(place(&fleet, 60_000, "x", 500, 0), Placement::Send(id("a")));
    assert_eq!(place(&fleet, 60_000, "y", 500, 0), Placement::AwaitCapacity(None));
}

#[test]
fn nobody_has_the_model() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    let mut empty = news("a", 2, &[]);
    empty.available_models.clear();
    fleet.apply_update(at(0), empty);

    assert_eq!(place(&fleet, 0, "x", 500, 0), Placement::NoEngine);
}

#[test]
fn doubtful_holder_is_waited_for() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    fleet.on_sent(at(0), &id("a"), &demand("x", 500));
    fleet.on_ended(at(0), &id("a"), &demand("x", 500), SendOutcome::Broken);

    assert_eq!(place(&fleet, 1, "x", 500, 0), Placement::AwaitCapacity(None));
}

#[test]
fn plain_prefers_home() {
    let mut fleet = fleet(at(0), &THREE);
    let mut far = listed("d");
    far.domain = filbertcleat_base::FailureDomain::new("there");
    fleet.apply_listing(at(0), ListingChange::Snapshot(vec![listed("c"), far]));
    let demand = demand("x", 0);

    assert_eq!(place_plain(at(0), &fleet, &demand, &home(), &[]), Some(id("c")));
    assert_eq!(place_plain(at(0), &fleet, &demand, &home(), &[id("c")]), Some(id("d")));
    for _ in 0..5 {
        fleet.on_sent(at(0), &id("c"), &demand);
    }
    assert_eq!(place_plain(at(0), &fleet, &demand, &home(), &[]), Some(id("d")));
}

#[test]
fn doubtful_is_better_than_none() {
    let mut fleet = fleet(at(0), &[("a", &[])]);
    let demand = demand("x", 0);
    fleet.on_sent(at(0), &id("a"), &demand);
    fleet.on_ended(at(0), &id("a"), &demand, SendOutcome::Broken);

    assert_eq!(place_plain(at(1), &fleet, &demand, &home(), &[]), Some(id("a")));
}
