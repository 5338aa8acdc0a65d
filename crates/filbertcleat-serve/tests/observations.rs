//! What entries tell each other of the engines' speed.

mod support;

use filbertcleat_base::ServiceName;
use filbertcleat_serve::AgentUpdate;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::ObservationPool;
use filbertcleat_serve::PrefillObservations;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::ServiceObservations;
use rstest::rstest;

use self::support::agent_update;
use self::support::at;
use self::support::demand;
use self::support::fleet;

/// The time to the first event of an empty prompt, and per token.
const FIRST_MS: f64 = 100.0;
const MS_PER_TOKEN: f64 = 0.05;

fn observe(fleet: &mut Fleet, now_ms: u64, prompt_tokens: u64, extra_ms: f64) {
    let (id, demand) = (ServerId::new("a"), demand("x", prompt_tokens));
    let wait_ms = FIRST_MS + prompt_tokens as f64 * MS_PER_TOKEN + extra_ms;
    fleet.on_sent(at(now_ms), &id, &demand);
    fleet.on_response_started(at(now_ms + wait_ms as u64), &id, &demand, wait_ms as u64, 0.0);
}

fn ms_per_token(fleet: &Fleet) -> f64 {
    fleet.server(&ServerId::new("a")).expect("the server is listed").ms_per_token()
}

/// Guards against requests that wait beside idle engines because each of many entries learns the
/// engines' speed alone: 43 entries with two responses each know the slope to 20%.
#[test]
fn entries_learn_together() {
    let mut pool = ObservationPool::default();
    let mut last = fleet(at(0), &[("a", &["x"])]);
    for entry in 0..43 {
        let mut known = fleet(at(0), &[("a", &["x"])]);
        observe(&mut known, 1_000, 300 + entry * 20, 0.0);
        observe(&mut known, 2_000, 1_500 + entry * 40, 0.0);
        pool.record(at(2_000), entry, known.own_observations());
        last = known;
    }
    let alone = ms_per_token(&last);
    for others in pool.others(42) {
        last.set_others_observations(&others);
    }
    let together = ms_per_token(&last);

    assert!(alone > MS_PER_TOKEN * 1.2, "two responses are not enough: {alone}");
    assert!((together / MS_PER_TOKEN - 1.0).abs() < 0.2, "{together} ms a token");
}

/// Guards against responses that prompts of other entries delayed making the engines look slow: in a
/// third of the responses the delay grows with the prompt.
#[test]
fn delayed_responses_outvoted() {
    let mut known = fleet(at(0), &[("a", &["x"])]);
    let mut sequence = 1;
    for draw in 0..300 {
        let tokens = 200 + (draw * 397) % 3_000;
        let extra_ms = if draw % 3 == 0 { tokens as f64 * 0.2 } else { 0.0 };
        let now_ms = 1_000 + draw * 1_000;
        sequence += 1;
        let update = AgentUpdate { live_entries: 50, ..agent_update("a", sequence, &["x"]) };
        known.apply_update(at(now_ms), update);
        observe(&mut known, now_ms, tokens, extra_ms);
    }

    let slope = ms_per_token(&known);
    assert!((slope / MS_PER_TOKEN - 1.0).abs() < 0.4, "{slope} ms a token");
}

/// Guards against observations that count twice, or that are told to the entry that made them.
#[test]
fn latest_of_each_counts() {
    let service = ServiceName::new("writer");
    let item = |weight| {
        let prefill = PrefillObservations { weight, ..PrefillObservations::default() };
        ServiceObservations { service: service.clone(), prefill }
    };
    let mut pool = ObservationPool::default();
    pool.record(at(0), 1, [item(1.0)]);
    pool.record(at(10), 1, [item(2.0)]);
    pool.record(at(10), 2, [item(5.0)]);
    pool.record(at(20), 3, [item(7.0)]);

    let weight = |entry| pool.others(entry).first().map(|others| others.prefill.weight);
    assert_eq!((weight(1), weight(2), weight(3)), (Some(12.0), Some(9.0), Some(7.0)));

    pool.record(at(61_000), 4, [item(1.0)]);
    assert_eq!(pool.others(4), [], "the observations are a minute old");
}

/// Guards against numbers of a faulty process that make every estimate useless.
#[rstest]
fn invalid_numbers_dropped(#[values(f64::NAN, f64::INFINITY, -1.0)] weight: f64) {
    let prefill = PrefillObservations { weight, ..PrefillObservations::default() };
    let mut pool = ObservationPool::default();
    pool.record(at(0), 1, [ServiceObservations { service: ServiceName::new("writer"), prefill }]);

    assert_eq!(pool.others(2), []);
}

/// Guards against engines that turn slow being taken for delayed ones for good.
#[test]
fn slow_engines_followed() {
    let mut known = fleet(at(0), &[("a", &["x"])]);
    let mut sequence = 1;
    for draw in 0..400 {
        let tokens = 200 + (draw * 397) % 3_000;
        let now_ms = 1_000 + draw * 1_000;
        sequence += 1;
        let update = AgentUpdate { live_entries: 50, ..agent_update("a", sequence, &["x"]) };
        known.apply_update(at(now_ms), update);
        let extra_ms = if draw < 200 { 0.0 } else { tokens as f64 * MS_PER_TOKEN };
        observe(&mut known, now_ms, tokens, extra_ms);
    }

    let slope = ms_per_token(&known);
    assert!((slope / (2.0 * MS_PER_TOKEN) - 1.0).abs() < 0.3, "{slope} ms a token");
}
