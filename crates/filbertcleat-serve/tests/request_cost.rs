//! Placement on plain servers by learned response times, compared with counts of open requests.

mod support;

use filbertcleat_serve::AttemptOutcome;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::RequestDemand;
use filbertcleat_serve::place_plain;
use rstest::rstest;

use self::support::at;
use self::support::demand;
use self::support::fleet;
use self::support::id;
use self::support::local_domain;
use self::support::plain_load::PlainLoad;
use self::support::plain_load::PlainReplay;
use self::support::plain_load::PlainResult;
use self::support::plain_load::Rule;

/// Workload A: an entry sees some two responses a second of each server, so that it learns little of
/// a stall before the stall is over.
const SPARSE: PlainLoad = PlainLoad {
    entries: 21,
    per_s: 137.0,
    work_ms: 15.0,
    objective_ms: 100,
    slowness: &[1.0, 1.0, 1.0],
    swing: 0.4,
    stalls: 0.15,
    seconds: 400,
};
/// Workload B: longer work, more entries, and a slow server.
const SLOW_SERVER: PlainLoad = PlainLoad {
    entries: 43,
    per_s: 113.0,
    work_ms: 30.0,
    objective_ms: 150,
    slowness: &[1.3, 1.0, 1.0],
    swing: 0.4,
    stalls: 0.15,
    seconds: 400,
};
/// Waves up to 90% of the capacity.
const BUSY: PlainLoad = PlainLoad {
    entries: 30,
    per_s: 510.0,
    work_ms: 30.0,
    objective_ms: 200,
    slowness: &[1.3, 1.0, 1.1, 1.0, 1.2],
    swing: 0.4,
    stalls: 0.15,
    seconds: 120,
};

/// Guards against placement by counts alone, which does not see slow and stalled servers. Counts are
/// the rule without learned times; the bound is that fewer responses are late.
#[rstest]
#[case::a(SPARSE, 1)]
#[case::a(SPARSE, 2)]
#[case::b(SLOW_SERVER, 1)]
#[case::b(SLOW_SERVER, 2)]
#[case::busy(BUSY, 1)]
#[case::busy(BUSY, 2)]
fn fewer_late_than_by_counts(#[case] load: PlainLoad, #[case] seed: u64) {
    let [counts, learned, oracle] = play_rules(load, seed);

    assert!(learned.in_time > counts.in_time, "{learned:?}, by counts {counts:?}");
    assert!(learned.mean_ms < counts.mean_ms, "{learned:?}, by counts {counts:?}");
    // Guards against entries that all go to the same server. The oracle's choices are the same for
    // all entries, and a wave of them to one server is in time.
    assert!(learned.largest_share <= oracle.largest_share, "{learned:?}, oracle {oracle:?}");
}

/// Guards against harm where there is nothing to learn: servers that are equally fast and never
/// stall. No more responses may be late, and the mean may rise by at most the price of traffic
/// between domains, which is 2% of the objective.
#[rstest]
#[case::a(SPARSE)]
#[case::b(SLOW_SERVER)]
#[case::busy(BUSY)]
fn equal_servers_not_worse(#[case] load: PlainLoad) {
    let slowness: &[f64] = if load.slowness.len() == 5 { &[1.0; 5] } else { &[1.0; 3] };
    let [counts, learned, _] = play_rules(PlainLoad { stalls: 0.0, slowness, ..load }, 1);

    assert!(learned.in_time >= counts.in_time, "{learned:?}, by counts {counts:?}");
    let bound_ms = counts.mean_ms + load.objective_ms as f64 * 0.02;
    assert!(learned.mean_ms <= bound_ms, "{learned:?}, by counts {counts:?}");
}

/// Plays a load with each rule and prints the figures.
fn play_rules(load: PlainLoad, seed: u64) -> [PlainResult; 3] {
    [Rule::Counts, Rule::Learned, Rule::Oracle].map(|rule| {
        let result = PlainReplay::play(load, rule, seed);
        println!("objective={} seed={seed} {rule:?} {result:.4?}", load.objective_ms);
        result
    })
}

/// Guards against a change of placement where no response is at risk: the requests of a service that
/// is far from its objective are placed as by counts, and none is sent to other domains to learn.
#[test]
fn calm_service_as_by_counts() {
    let calm = PlainLoad { objective_ms: 10_000, seconds: 60, ..SPARSE };

    let learned = PlainReplay::play(calm, Rule::Learned, 1);

    let counts = PlainReplay::play(calm, Rule::Counts, 1);
    assert_eq!((learned.mean_ms, learned.crossed), (counts.mean_ms, counts.crossed));
}

fn plain() -> RequestDemand {
    RequestDemand { latency_objective_ms: 100, gap_objective_ms: 0, ..demand("x", 0) }
}

/// Lets every server answer in turn, each in its own time, and returns the time afterwards.
fn learn(fleet: &mut Fleet, request: &RequestDemand, times_ms: &[(&str, u64)]) -> u64 {
    let mut now = 0;
    for _ in 0..100 {
        for (server, response_ms) in times_ms {
            fleet.on_sent(at(now), &id(server), request);
            let sent_at = at(now);
            now += response_ms;
            fleet.on_response_started(at(now), &id(server), request, *response_ms, 0.0);
            fleet.on_plain_answered(at(now), &id(server), request, sent_at);
            fleet.on_ended(at(now), &id(server), request, AttemptOutcome::Answered);
        }
    }
    now
}

/// Guards against requests to a server that holds one of this entry for long, before it answers.
#[test]
fn stalled_server_avoided_before_answer() {
    let mut fleet = fleet(at(0), &[("a", &[]), ("b", &[])]);
    let request = plain();
    let now = learn(&mut fleet, &request, &[("a", 60), ("b", 60)]);
    fleet.on_sent(at(now), &id("a"), &request);
    fleet.on_sent(at(now + 280), &id("b"), &request);
    fleet.on_sent(at(now + 281), &id("b"), &request);

    let placed = place_plain(at(now + 300), &fleet, &request, &local_domain(), &[]);

    assert_eq!(placed, Some(id("b")), "a has fewer open requests, but one for 300 ms");
}

/// Guards against streams and prompts that teach the service time of plain requests.
#[test]
fn streams_teach_nothing() {
    let mut fleet = fleet(at(0), &[("a", &[])]);
    let stream = RequestDemand { gap_objective_ms: 300, ..plain() };

    learn(&mut fleet, &stream, &[("a", 60)]);

    assert_eq!(fleet.expected_response_ms(at(0), &id("a"), &plain()), None);
}

/// Guards against memory that grows with the names of routes that configurations have had.
#[test]
fn old_routes_are_dropped() {
    let mut fleet = fleet(at(0), &[("a", &[])]);
    let request = |number: u32| RequestDemand { route: format!("r{number}").into(), ..plain() };

    for number in 0..400 {
        learn(&mut fleet, &request(number), &[("a", 60)]);
    }

    let known = (0..400)
        .filter(|number| fleet.expected_response_ms(at(0), &id("a"), &request(*number)).is_some());
    assert_eq!(known.count(), 256);
}
