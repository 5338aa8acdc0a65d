//! Parsing and formatting of adapter references.

use filbertcleat_base::AdapterRef;
use rstest::rstest;

#[rstest]
#[case("roster@3")]
#[case("team@north@12")]
fn parse_and_format(#[case] text: &str) {
    let adapter: AdapterRef = text.parse().expect("a well-formed reference");
    assert_eq!(adapter.to_string(), text);
}

#[rstest]
#[case("")]
#[case("roster")]
#[case("@3")]
#[case("roster@")]
#[case("roster@-1")]
#[case("roster@99999999999")]
fn malformed_reference(#[case] text: &str) {
    let error = text.parse::<AdapterRef>().expect_err("a malformed reference");
    assert!(error.to_string().contains("name@number"));
}
