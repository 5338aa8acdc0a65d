//! Parsing and applying of configuration patches.

use filbertcleat_config::Configuration;
use filbertcleat_config::Patch;
use filbertcleat_config::PatchError;
use proptest::prelude::*;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

fn apply(configuration: &Configuration, changes: &Value) -> Result<Configuration, PatchError> {
    let base = configuration.version;
    let patch = json!({ "base": base, "id": "p", "operator": "o", "changes": changes });
    configuration.apply(&Patch::parse(patch.to_string().as_bytes())?)
}

/// Returns a configuration with one model, two services and one adapter.
fn example() -> Configuration {
    let changes = json!([
        { "op": "add-model", "model": "base" },
        { "op": "set-service", "service": "writer", "entry": { "kind": "engine", "model": "base" } },
        { "op": "set-service", "service": "desk", "entry": { "kind": "plain", "non_repeatable": ["/orders"] } },
        { "op": "add-adapter", "adapter": "a", "model": "base", "service": "writer", "version": 1 },
    ]);
    apply(&Configuration::default(), &changes).expect("the first patch is valid")
}

#[rstest]
#[case(json!([]), "changes")]
#[case(json!([{ "op": "add-model", "model": "base" }]), "changes[0].model")]
#[case(json!([{ "op": "add-model", "model": "two words" }]), "changes[0].model")]
#[case(json!([{ "op": "add-version", "adapter": "b", "version": 2 }]), "changes[0].adapter")]
#[case(json!([{ "op": "add-version", "adapter": "a", "version": 1 }]), "changes[0].version")]
#[case(json!([{ "op": "serve", "adapter": "a", "version": 9 }]), "changes[0].version")]
#[case(json!([{ "op": "remove-version", "adapter": "a", "version": 1 }]), "changes[0].version")]
#[case(json!([{ "op": "remove-service", "service": "writer" }]), "changes[0].service")]
#[case(json!([{ "op": "add-adapter", "adapter": "c", "model": "base", "service": "desk", "version": 1 }]), "changes[0].model")]
#[case(json!([{ "op": "set-weights", "weights": { "load_stall": 0, "batch_efficiency": 0 } }]), "changes[0].weights")]
#[case(json!([{ "op": "set-limits", "limits": { "attempts_max": 0 } }]), "changes[0].limits.attempts_max")]
#[case(json!([{ "op": "serve", "adapter": "a", "version": 1, "colour": "red" }]), "changes[0]")]
#[case(json!([{ "op": "paint" }]), "changes[0]")]
fn invalid_changes(#[case] changes: Value, #[case] path: &str) {
    let error = apply(&example(), &changes).expect_err("the patch is invalid");

    match error {
        PatchError::Invalid { path: found, .. } => assert!(found.starts_with(path), "{found}"),
        PatchError::Stale { .. }
        | PatchError::Unavailable { .. }
        | PatchError::UnknownOutcome { .. } => {
            panic!("unexpected error: {error}")
        }
    }
}

#[test]
fn atomic_patch() {
    let before = example();
    let changes = json!([
        { "op": "add-version", "adapter": "a", "version": 2 },
        { "op": "serve", "adapter": "nobody", "version": 2 },
    ]);

    let error = apply(&before, &changes).expect_err("the second change is invalid");

    assert!(error.to_string().starts_with("changes[1].adapter"));
    assert_eq!(before, example());
}

#[test]
fn canary_share() {
    let changes = json!([
        { "op": "add-version", "adapter": "a", "version": 2 },
        { "op": "serve", "adapter": "a", "version": 1, "canary": { "version": 2, "share_percent": 25 } },
    ]);
    let configuration = apply(&example(), &changes).expect("the canary is valid");

    let canary_requests = (0..4000)
        .filter(|number| {
            let request = format!("request-{number}").into();
            let (adapter, _) = configuration.resolve("a", &request).expect("the adapter exists");
            adapter.to_string() == "a@2"
        })
        .count();

    assert!((800..1200).contains(&canary_requests), "{canary_requests}");
}

#[test]
fn json_round_trip() {
    let configuration = example();
    let json = serde_json::to_string(&configuration).expect("the configuration is serializable");
    let parsed: Configuration = serde_json::from_str(&json).expect("the JSON is valid");
    assert_eq!(parsed, configuration);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = Patch::parse(&bytes);
    }

    #[test]
    fn version_increments(versions in proptest::collection::vec(1u32..6, 1..20)) {
        let mut configuration = example();
        for version in versions {
            let changes = json!([{ "op": "add-version", "adapter": "a", "version": version }]);
            let before = configuration.version;
            if let Ok(next) = apply(&configuration, &changes) {
                prop_assert_eq!(next.version, before.next());
                configuration = next;
            } else {
                prop_assert_eq!(configuration.version, before);
            }
        }
    }
}
