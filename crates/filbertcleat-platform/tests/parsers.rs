//! Parsing of server-sent events from engines.

use filbertcleat_platform::SseParser;
use proptest::prelude::*;
use rstest::rstest;

fn parse(pieces: &[&[u8]]) -> Vec<String> {
    let mut parser = SseParser::default();
    pieces
        .iter()
        .flat_map(|piece| parser.push(piece).expect("events are within the size limit"))
        .collect()
}

#[rstest]
#[case("data: one\n\ndata: two\n\n", &["one", "two"])]
#[case("data: one\r\n\r\n", &["one"])]
#[case("event: x\ndata: a\ndata: b\n\n", &["a\nb"])]
#[case(": only a comment\n\n", &[])]
#[case("data:tight\n\ndata: open", &["tight"])]
fn event_streams(#[case] stream: &str, #[case] events: &[&str]) {
    assert_eq!(parse(&[stream.as_bytes()]), events);
}

#[test]
fn oversized_event() {
    let mut parser = SseParser::default();
    let piece = vec![b'x'; 600_000];
    assert!(parser.push(&piece).is_some());
    assert!(parser.push(&piece).is_none(), "an event without an end is rejected");
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = SseParser::default().push(&bytes);
    }

    #[test]
    fn split_invariance(texts in proptest::collection::vec("[a-zé ]{1,12}", 1..6), cut in 0usize..80) {
        let events: Vec<_> = texts.iter().map(|text| format!("data: {text}\n\n")).collect();
        let stream = events.concat();
        let bytes = stream.as_bytes();
        let cut = cut.min(bytes.len());

        let whole = parse(&[bytes]);

        prop_assert_eq!(parse(&[&bytes[..cut], &bytes[cut..]]), whole.clone());
        prop_assert_eq!(whole, texts);
    }
}
