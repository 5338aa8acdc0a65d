//! Parsing and validation of settings files.

use std::path::Path;

use filbertcleat_config::Problem;
use filbertcleat_config::Settings;
use proptest::prelude::*;
use rstest::rstest;

const ENTRY: &str = include_str!("../../../examples/cassowary-entry.yaml");
const AGENT: &str = include_str!("../../../examples/cassowary-agent.yaml");

fn problems(yaml: &str) -> Vec<Problem> {
    Settings::parse(yaml).expect_err("the settings are invalid")
}

#[rstest]
#[case("cassowary-entry")]
#[case("cassowary-agent")]
#[case("coldwater-entry")]
#[case("coldwater-agent")]
fn valid_examples(#[case] name: &str) {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    Settings::load(&directory.join(format!("{name}.yaml"))).expect("the example is valid");
}

#[rstest]
#[case("exchange_ms: 500", "exchange_s: 1", "peers.exchange_s", "exchange_ms")]
#[case("exchange_ms: 500", "exchange_ms: 5s", "peers.exchange_ms", "milliseconds")]
#[case("listen: 127.0.0.1:8080", "listen: localhost", "callers.listen", "IP address")]
#[case("listen: 127.0.0.1:8080", "listen: 127.0.0.1:7400", "callers.listen", "own port")]
#[case("listen: 127.0.0.1:7400", "listen: 0.0.0.0:7400", "peers.advertise", "advertise")]
#[case("gone_ms: 3000", "gone_ms: 600", "peers.gone_ms", "3 times")]
#[case("table: http://127.0.0.1:7300", "table: db.example:1", "platform.table", "http://")]
#[case("level: info", "level: loud", "log.level", "info")]
#[case("role: entry", "role: agent", "callers", "role")]
#[case("role: entry", "role: chief", "role", "examples")]
fn invalid_settings(#[case] from: &str, #[case] to: &str, #[case] path: &str, #[case] hint: &str) {
    let yaml = ENTRY.replacen(from, to, 1);
    assert_ne!(yaml, ENTRY, "the example contains {from:?}");

    let list = problems(&yaml);

    let found = list.iter().find(|problem| problem.path == path);
    let found = found.unwrap_or_else(|| panic!("no problem at {path}: {list:?}"));
    assert!(found.to_string().contains(hint), "{found}");
}

#[test]
fn all_problems_reported() {
    let yaml = AGENT.replacen("slots: 4", "slots: 0", 1).replacen(
        "batch: 4",
        "batch: 0\n  colour: red",
        1,
    );

    let paths: Vec<_> = problems(&yaml).into_iter().map(|problem| problem.path).collect();

    assert_eq!(paths, ["backend.colour", "backend.slots", "backend.batch"]);
}

#[test]
fn missing_file() {
    let error =
        Settings::load(Path::new("no-such-file.yaml")).expect_err("the file does not exist");
    assert!(error.to_string().starts_with("no-such-file.yaml: "));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_text(text in "\\PC{0,200}") {
        let _ = Settings::parse(&text);
    }

    #[test]
    fn corrupted_example(at in 0usize..1500, with in "[a-z:{}\\[\\]0-9 \n-]{0,6}") {
        let at = ENTRY.char_indices().map(|(index, _)| index).nth(at).unwrap_or(0);
        let corrupted = format!("{}{with}{}", &ENTRY[..at], &ENTRY[at..]);
        if let Err(problems) = Settings::parse(&corrupted) {
            prop_assert!(!problems.is_empty());
        }
    }
}
