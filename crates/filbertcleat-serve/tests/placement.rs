//! Selection of the backend server of a request.

mod support;

use std::collections::BTreeMap;

use filbertcleat_serve::AdapterStage;
use filbertcleat_serve::AttemptOutcome;
use filbertcleat_serve::EngineSpec;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::Placement;
use filbertcleat_serve::QueueWait;
use filbertcleat_serve::RequestDemand;
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

const THREE: [(&str, &[&str]); 3] = [("a", &[]), ("b", &[]), ("c", &[])];

fn place(fleet: &Fleet, now: u64, adapter: &str, prompt: u64, waited_ms: u64) -> Placement {
    let demand = demand(adapter, prompt);
    let wait = QueueWait { waited_ms, load_ms: 1_000, ..QueueWait::default() };
    place_engine(at(now), fleet, &engine_spec(), &demand, &local_domain(), &[], wait)
}

/// Makes the fleet learn the prefill time of a server from prompts of two lengths that overlap with
/// no other ones. Returns the time after the last prompt.
fn learn_prefill_time(fleet: &mut Fleet, server: &str, ms_per_1000_tokens: u64) -> u64 {
    let mut now = 0;
    for number in 0..200 {
        let prompt_tokens = 500 + number % 2 * 1_000;
        let demand = demand("lesson", prompt_tokens);
        fleet.on_sent(at(now), &id(server), &demand);
        let wait_ms = 25 + prompt_tokens * ms_per_1000_tokens / 1_000;
        fleet.on_response_started(at(now + wait_ms), &id(server), &demand, wait_ms, 0.0);
        fleet.on_ended(at(now + wait_ms), &id(server), &demand, AttemptOutcome::Answered);
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
fn older_version_is_insufficient() {
    let fleet = fleet(at(0), &[("a", &["x"])]);
    let newer = RequestDemand { min_version: 2, ..demand("x", 500) };

    let placement = place_engine(
        at(0),
        &fleet,
        &engine_spec(),
        &newer,
        &local_domain(),
        &[],
        QueueWait::default(),
    );

    assert_eq!(placement, Placement::AwaitLoad(id("a")));
}

#[test]
fn newer_version_loads_elsewhere() {
    // An engine with an older version is passed over even if it is the adapter's home: requests on
    // the older version would delay its replacement.
    for older in ["a", "b"] {
        let loaded: [(&str, &[&str]); 2] = [("a", &[]), ("b", &[])];
        let mut fleet = fleet(at(0), &loaded);
        fleet.apply_update(at(0), agent_update(older, 2, &["x"]));
        let newer = RequestDemand { min_version: 2, ..demand("x", 500) };

        let placement = place_engine(
            at(0),
            &fleet,
            &engine_spec(),
            &newer,
            &local_domain(),
            &[],
            QueueWait::default(),
        );

        let other = if older == "a" { "b" } else { "a" };
        assert_eq!(placement, Placement::AwaitLoad(id(other)));
    }
}

#[test]
fn entries_agree_on_home() {
    // Entries that know the same servers must choose the same home engine for each adapter.
    let (one, other) = (fleet(at(0), &THREE), fleet(at(0), &THREE));
    let mut homes: BTreeMap<String, u32> = BTreeMap::new();

    for number in 0..300 {
        let adapter = format!("adapter-{number}");
        let chosen = place(&one, 0, &adapter, 500, 0);
        assert_eq!(chosen, place(&other, 0, &adapter, 500, 0));
        let Placement::AwaitLoad(server) = chosen else { panic!("no engine has {adapter}") };
        *homes.entry(server.as_str().to_owned()).or_default() += 1;
    }

    // Each of three servers is the home of a third, within four standard deviations.
    assert!(homes.values().all(|count| (67..=133).contains(count)), "{homes:?}");
}

#[test]
fn loaded_home_is_skipped() {
    let mut fleet = fleet(at(0), &THREE);
    let Placement::AwaitLoad(first) = place(&fleet, 0, "x", 500, 0) else {
        panic!("no engine has the adapter")
    };
    let mut busy = agent_update(first.as_str(), 2, &[]);
    busy.running_requests = 30;
    fleet.apply_update(at(1), busy);

    // The mean load of 10 gives a bound of 17, independent of the batch limit.
    let large_batch = EngineSpec { batch_limit: 64, ..engine_spec() };
    let placement = place_engine(
        at(1),
        &fleet,
        &large_batch,
        &demand("x", 500),
        &local_domain(),
        &[],
        QueueWait::default(),
    );
    let Placement::AwaitLoad(second) = placement else { panic!("no engine has the adapter") };

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
fn others_prompts_are_paced() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    let mut update = agent_update("a", 2, &["x"]);
    update.others_prompt_tokens = 3_000;
    fleet.apply_update(at(0), update);

    assert_eq!(place(&fleet, 1, "x", 3_000, 0), Placement::AwaitCapacity(Some(id("a"))));
    assert_eq!(place(&fleet, 301, "x", 3_000, 0), Placement::Send(id("a")));
}

#[test]
fn loading_is_awaited() {
    let mut fleet = fleet(at(0), &THREE);
    let Placement::AwaitLoad(home) = place(&fleet, 0, "x", 500, 0) else {
        panic!("no engine has the adapter")
    };
    let other = if home == id("a") { "b" } else { "a" };
    let mut loading = agent_update(other, 2, &["x"]);
    loading.adapters[0].stage = AdapterStage::Loading;
    fleet.apply_update(at(1), loading);

    assert_eq!(place(&fleet, 1, "x", 500, 0), Placement::AwaitLoad(id(other)));
}

#[test]
fn long_prompt_to_fast_engine() {
    let mut fleet = fleet(at(0), &[("quick", &["x"]), ("slow", &["x"])]);
    learn_prefill_time(&mut fleet, "quick", 45);
    let now = learn_prefill_time(&mut fleet, "slow", 70);
    for (sequence, name) in [(2, "quick"), (3, "slow")] {
        let mut busy = agent_update(name, sequence, &["x"]);
        // The fast engine has the higher load, but a long prompt would stall the streams of the
        // slow one for longer than the gap objective.
        busy.running_requests = if name == "quick" { 6 } else { 1 };
        fleet.apply_update(at(now), busy);
    }

    assert_eq!(place(&fleet, now, "x", 4_000, 0), Placement::Send(id("quick")));
    assert_eq!(place(&fleet, now, "x", 100, 0), Placement::Send(id("slow")));
}

#[test]
fn full_batch_waits() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    let mut full = agent_update("a", 2, &["x"]);
    full.running_requests = 8;
    fleet.apply_update(at(0), full);

    assert_eq!(place(&fleet, 0, "x", 500, 0), Placement::AwaitCapacity(Some(id("a"))));
}

#[test]
fn full_memory_waits() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    let mut full = agent_update("a", 2, &["x"]);
    full.memory_used_tokens = 99_500;
    fleet.apply_update(at(0), full);

    assert_eq!(place(&fleet, 0, "x", 500, 0), Placement::AwaitCapacity(Some(id("a"))));
}

#[test]
fn no_load_without_updates() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    fleet.apply_listing(at(0), ListingChange::Upserted(listed("b")));

    // Without fresh updates of its agent a server serves loaded adapters but can't load others.
    assert_eq!(place(&fleet, 60_000, "x", 500, 0), Placement::Send(id("a")));
    assert_eq!(place(&fleet, 60_000, "y", 500, 0), Placement::AwaitCapacity(None));
}

#[test]
fn model_on_no_engine() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    let mut empty = agent_update("a", 2, &[]);
    empty.available_models.clear();
    fleet.apply_update(at(0), empty);

    assert_eq!(place(&fleet, 0, "x", 500, 0), Placement::NoEngine);
}

#[test]
fn failed_holder_is_awaited() {
    let mut fleet = fleet(at(0), &[("a", &["x"])]);
    fleet.on_sent(at(0), &id("a"), &demand("x", 500));
    fleet.on_ended(at(0), &id("a"), &demand("x", 500), AttemptOutcome::Broken);

    assert_eq!(place(&fleet, 1, "x", 500, 0), Placement::AwaitCapacity(None));
}

#[test]
fn plain_prefers_local_domain() {
    let mut fleet = fleet(at(0), &THREE);
    let mut far = listed("d");
    far.domain = filbertcleat_base::FailureDomain::new("there");
    fleet.apply_listing(at(0), ListingChange::Snapshot(vec![listed("c"), far]));
    let demand = demand("x", 0);

    assert_eq!(place_plain(at(0), &fleet, &demand, &local_domain(), &[]), Some(id("c")));
    assert_eq!(place_plain(at(0), &fleet, &demand, &local_domain(), &[id("c")]), Some(id("d")));
    for _ in 0..5 {
        fleet.on_sent(at(0), &id("c"), &demand);
    }
    assert_eq!(place_plain(at(0), &fleet, &demand, &local_domain(), &[]), Some(id("d")));
}

/// Guards against a stream that returns to the server which left it off while another has room.
#[rstest]
#[case::broken_one(&["a"], "b")]
#[case::broken_both(&["a", "b"], "a")]
#[case::none_broken(&[], "a")]
fn last_choice_is_last(#[case] left: &[&str], #[case] expected: &str) {
    let mut fleet = fleet(at(0), &[("a", &["x"]), ("b", &["x"])]);
    let last_choices: Vec<_> = left.iter().copied().map(id).collect();
    let engine_demand = RequestDemand { last_choices, ..demand("x", 500) };
    let plain_demand = RequestDemand { prompt_tokens: 0, ..engine_demand.clone() };
    // The other one costs more.
    fleet.on_sent(at(0), &id("b"), &demand("x", 0));
    let place = |fleet: &Fleet| {
        let wait = QueueWait { load_ms: 1_000, ..QueueWait::default() };
        place_engine(at(1), fleet, &engine_spec(), &engine_demand, &local_domain(), &[], wait)
    };

    let plain = place_plain(at(1), &fleet, &plain_demand, &local_domain(), &[]);
    assert_eq!(plain, Some(id(expected)));
    assert_eq!(place(&fleet), Placement::Send(id(expected)));

    let mut full = agent_update("b", 2, &["x"]);
    full.running_requests = 8;
    fleet.apply_update(at(1), full);
    assert_eq!(place(&fleet), Placement::Send(id("a")), "no other has room");
}

#[test]
fn failed_server_as_last_resort() {
    let mut fleet = fleet(at(0), &[("a", &[])]);
    let demand = demand("x", 0);
    fleet.on_sent(at(0), &id("a"), &demand);
    fleet.on_ended(at(0), &id("a"), &demand, AttemptOutcome::Broken);

    assert_eq!(place_plain(at(1), &fleet, &demand, &local_domain(), &[]), Some(id("a")));
}
