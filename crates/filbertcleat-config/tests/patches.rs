//! Patches and their refusals.

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

fn first() -> Configuration {
    let changes = json!([
        { "op": "add-model", "model": "base" },
        { "op": "set-service", "service": "writer", "entry": { "kind": "engine", "model": "base" } },
        { "op": "set-service", "service": "desk", "entry": { "kind": "plain", "non_repeatable": ["/orders"] } },
        { "op": "add-adapter", "adapter": "a", "model": "base", "service": "writer", "version": 1 },
    ]);
    apply(&Configuration::default(), &changes).expect("the first patch is good")
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
fn refused_changes(#[case] changes: Value, #[case] path: &str) {
    let refusal = apply(&first(), &changes).expect_err("the patch is wrong");

    match refusal {
        PatchError::Invalid { path: found, .. } => assert!(found.starts_with(path), "{found}"),
        PatchError::Stale { .. }
        | PatchError::Unavailable { .. }
        | PatchError::UnknownOutcome { .. } => {
            panic!("unexpected refusal: {refusal}")
        }
    }
}

#[test]
fn all_or_nothing() {
    let before = first();
    let changes = json!([
        { "op": "add-version", "adapter": "a", "version": 2 },
        { "op": "serve", "adapter": "nobody", "version": 2 },
    ]);

    let refusal = apply(&before, &changes).expect_err("the second change is wrong");

    assert!(refusal.to_string().starts_with("changes[1].adapter"));
    assert_eq!(before, first());
}

#[test]
fn canary_share() {
    let changes = json!([
        { "op": "add-version", "adapter": "a", "version": 2 },
        { "op": "serve", "adapter": "a", "version": 1, "canary": { "version": 2, "share_percent": 25 } },
    ]);
    let configuration = apply(&first(), &changes).expect("the canary is good");

    let taken = (0..4000)
        .filter(|number| {
            let request = format!("request-{number}").into();
            let (adapter, _) = configuration.resolve("a", &request).expect("the adapter exists");
            adapter.to_string() == "a@2"
        })
        .count();

    assert!((800..1200).contains(&taken), "{taken}");
}

#[test]
fn round_trip() {
    let configuration = first();
    let json = serde_json::to_string(&configuration).expect("it can be written");
    let read: Configuration = serde_json::from_str(&json).expect("it can be read");
    assert_eq!(read, configuration);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = Patch::parse(&bytes);
    }

    #[test]
    fn versions_count_up(versions in proptest::collection::vec(1u32..6, 1..20)) {
        let mut configuration = first();
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
