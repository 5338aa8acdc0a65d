//! Checks that the models hold with all rules enforced, and that each rule is needed: without it
//! the search finds a counterexample.

use std::fmt::Debug;

use filbertcleat_model::ClaimModel;
use filbertcleat_model::ClaimRules;
use filbertcleat_model::LeaseModel;
use filbertcleat_model::LeaseRules;
use filbertcleat_model::Model;
use filbertcleat_model::PatchModel;
use filbertcleat_model::PatchRules;
use filbertcleat_model::StopModel;
use filbertcleat_model::StopRules;
use filbertcleat_model::explore;
use rstest::rstest;

/// Asserts that no reachable state violates a property, and that the search covered more than a
/// trivial number of states.
fn assert_holds<M: Debug + Model>(name: &str, start: &M) {
    let exploration = explore(start);
    println!("{name}: {} states", exploration.state_count);
    assert!(exploration.counterexample.is_none(), "{:#?}", exploration.counterexample);
    assert!(exploration.state_count > 10);
}

/// Asserts that the search finds a state that violates the given property.
fn assert_violated<M: Debug + Model>(name: &str, start: &M, rule: &str) {
    let path = explore(start).counterexample.expect("a counterexample");
    println!("{name}: {} steps to: {rule}", path.len() - 1);
    let violation = path.last().and_then(Model::violation);
    assert_eq!(violation, Some(rule), "{path:#?}");
}

#[test]
fn claims_hold() {
    assert_holds("claims", &ClaimModel::new(ClaimRules::ENFORCED, 3));
}

#[rstest]
#[case(ClaimRules { conditional_writes: false, ..ClaimRules::ENFORCED }, "a request ran twice")]
#[case(ClaimRules { stops_on_unknown: false, ..ClaimRules::ENFORCED }, "a request ran twice")]
#[case(ClaimRules { proves_not_run: false, ..ClaimRules::ENFORCED }, "a request refused as not run was run")]
fn claims_break(#[case] rules: ClaimRules, #[case] rule: &str) {
    assert_violated("claims", &ClaimModel::new(rules, 2), rule);
}

#[test]
fn patches_hold() {
    assert_holds("patches", &PatchModel::new(PatchRules::ENFORCED, 3, 2));
}

#[rstest]
#[case(PatchRules { conditional_writes: false, ..PatchRules::ENFORCED }, "two patches were accepted for one version")]
#[case(PatchRules { confirms_version: false, ..PatchRules::ENFORCED }, "a process served an older version than before")]
fn patches_break(#[case] rules: PatchRules, #[case] rule: &str) {
    assert_violated("patches", &PatchModel::new(rules, 1, 1), rule);
}

#[rstest]
#[case("ignoring engine", LeaseRules::FENCE_IGNORED)]
#[case("checking engine", LeaseRules::FENCE_CHECKED)]
fn leases_hold(#[case] name: &str, #[case] rules: LeaseRules) {
    assert_holds(name, &LeaseModel::new(rules, 0));
}

#[rstest]
#[case(LeaseRules { margin_ticks: 0, ..LeaseRules::FENCE_IGNORED })]
#[case(LeaseRules { assumed_transit_ticks: 0, ..LeaseRules::FENCE_IGNORED })]
#[case(LeaseRules { allows_preemption: true, ..LeaseRules::FENCE_IGNORED })]
#[case(LeaseRules { pause_ticks: 4, ..LeaseRules::FENCE_IGNORED })]
fn leases_break(#[case] rules: LeaseRules) {
    let rule = "an order of a former lease holder took effect after an order of its successor";
    assert_violated("leases", &LeaseModel::new(rules, 0), rule);
}

#[test]
fn stops_hold() {
    assert_holds("stops", &StopModel::new(StopRules::ENFORCED));
}

#[rstest]
#[case(StopRules { refuses_new: false, ..StopRules::ENFORCED }, "a draining agent accepted a new request")]
#[case(StopRules { waits_for_calls: false, ..StopRules::ENFORCED }, "a planned stop interrupted a request")]
fn stops_break(#[case] rules: StopRules, #[case] rule: &str) {
    assert_violated("stops", &StopModel::new(rules), rule);
}
