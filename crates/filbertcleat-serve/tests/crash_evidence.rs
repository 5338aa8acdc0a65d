//! Parts of prompts and contents of requests under which backend servers end.

use filbertcleat_base::MonoTime;
use filbertcleat_serve::AbandonedRuns;
use filbertcleat_serve::CrashEvidence;
use filbertcleat_serve::CrashId;
use filbertcleat_serve::CrashMark;
use filbertcleat_serve::CrashSuspect;
use filbertcleat_serve::CrashVerdict;
use filbertcleat_serve::PromptPart;
use filbertcleat_serve::RequestContent;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// The first part of all prompts.
const FIRST: u64 = 1;
/// The part that ends servers.
const CRASHING: u64 = 2;

fn at(ms: u64) -> MonoTime {
    MonoTime::from_ms(ms)
}

fn part(number: u64) -> CrashSuspect {
    CrashSuspect::Part(PromptPart::new(number))
}

fn content(number: u64) -> CrashSuspect {
    CrashSuspect::Content(RequestContent::new(number))
}

fn parts(numbers: &[u64]) -> Vec<CrashSuspect> {
    numbers.iter().copied().map(part).collect()
}

/// Records that a server ended under requests with these parts.
fn crash(evidence: &mut CrashEvidence, ms: u64, numbers: &[u64]) -> Vec<CrashMark> {
    crash_under(evidence, ms, 30, &parts(numbers))
}

/// Records that a server ended under requests with these suspects that had run for a time.
fn crash_under(
    evidence: &mut CrashEvidence,
    ms: u64,
    run_ms: u64,
    suspects: &[CrashSuspect],
) -> Vec<CrashMark> {
    let runs = suspects.iter().map(|suspect| (*suspect, run_ms));
    evidence.on_server_ended(at(ms), CrashId::new(ms), 0, runs)
}

fn is_allowed(evidence: &CrashEvidence, ms: u64, numbers: &[u64]) -> bool {
    evidence.verdict(at(ms), &parts(numbers)) == CrashVerdict::Allowed
}

/// Load pattern: requests with one part in common end one server after the other, beside sound
/// requests with the same first part.
#[test]
fn common_part_found() {
    let mut evidence = CrashEvidence::default();
    evidence.on_answered(at(0), &parts(&[FIRST, 70]));
    for (number, ms) in [(10, 1_000), (11, 1_300), (12, 1_600)] {
        assert!(is_allowed(&evidence, ms, &[FIRST, CRASHING, number]));
        crash(&mut evidence, ms, &[FIRST, CRASHING, number]);
        evidence.on_answered(at(ms + 100), &parts(&[FIRST, 70]));
    }

    assert_eq!(evidence.suspected().into_iter().collect::<Vec<_>>(), parts(&[CRASHING]));
    assert!(!is_allowed(&evidence, 2_000, &[FIRST, CRASHING, 13]));
    assert!(is_allowed(&evidence, 2_000, &[FIRST, 10]));
}

/// Requests wait for their first event wherever a server ends.
#[test]
fn bystanders_stay_allowed() {
    let mut evidence = CrashEvidence::default();
    for (number, ms) in [(10, 1_000), (11, 1_300), (12, 1_600), (13, 1_900), (14, 2_200)] {
        crash(&mut evidence, ms, &[CRASHING, number, number % 2 + 70]);
    }

    assert!(!is_allowed(&evidence, 2_500, &[CRASHING, 15]));
    for bystander in [10, 14, 70, 71] {
        assert!(is_allowed(&evidence, 2_500, &[bystander]), "{bystander}");
    }
}

/// Two parts were in each request that ended a server. A prompt with one of them is sent, and its
/// fate tells which of them it is.
#[test]
fn equal_parts_told_apart() {
    let mut evidence = CrashEvidence::default();
    for ms in [1_000, 1_300, 1_600] {
        crash(&mut evidence, ms, &[FIRST, CRASHING]);
    }
    assert!(!is_allowed(&evidence, 1_700, &[FIRST, CRASHING, 10]));
    assert!(is_allowed(&evidence, 1_700, &[FIRST, 10]));

    evidence.on_answered(at(1_800), &parts(&[FIRST, 10]));

    assert!(is_allowed(&evidence, 1_900, &[FIRST, 11]));
    assert!(!is_allowed(&evidence, 1_900, &[CRASHING, 11]));
}

/// Load pattern: servers end for other reasons, while a popular part is on each of them.
#[rstest]
#[case::answered_before(4, true)]
#[case::never_answered(2, false)]
fn few_crashes_allowed(#[case] crashes: u64, #[case] is_answered: bool) {
    let mut evidence = CrashEvidence::default();
    if is_answered {
        evidence.on_answered(at(0), &parts(&[FIRST]));
    }
    for number in 0..crashes {
        crash(&mut evidence, 1_000 + number * 300, &[FIRST, 10 + number]);
    }
    assert!(is_allowed(&evidence, 3_000, &[FIRST]));

    crash(&mut evidence, 4_000, &[FIRST, 90]);

    assert!(!is_allowed(&evidence, 4_100, &[FIRST]));
}

/// Load pattern: thousands of requests are answered, no two alike, after one with a rare part.
#[test]
fn rare_part_stays_sound() {
    let mut evidence = CrashEvidence::default();
    evidence.on_answered(at(0), &parts(&[FIRST]));
    for number in 0..10_000 {
        evidence.on_answered(at(number * 2), &[content(number)]);
    }

    for ms in [20_000, 20_300, 20_600, 20_900] {
        crash(&mut evidence, ms, &[FIRST]);
    }

    assert!(is_allowed(&evidence, 21_000, &[FIRST]));
}

/// A failure domain fails, and with it all its servers within some milliseconds.
#[test]
fn crashes_at_once_are_one() {
    let mut evidence = CrashEvidence::default();
    for ms in [1_000, 1_001, 1_020, 1_050, 1_090, 1_099] {
        crash(&mut evidence, ms, &[FIRST]);
    }

    assert!(is_allowed(&evidence, 1_200, &[FIRST]));
}

#[test]
fn answer_clears_part() {
    let mut evidence = CrashEvidence::default();
    for ms in [1_000, 1_300, 1_600] {
        crash(&mut evidence, ms, &[FIRST]);
    }

    let cleared = evidence.on_answered(at(1_700), &parts(&[FIRST]));

    assert_eq!(cleared.len(), 3);
    assert!(is_allowed(&evidence, 1_800, &[FIRST]));
    assert!(evidence.on_answered(at(1_900), &parts(&[FIRST])).is_empty());
}

/// One prompt after the other shows whether servers still end, at intervals that double.
#[test]
fn trials_become_rare() {
    let mut evidence = CrashEvidence::default();
    for ms in [1_000, 1_300, 1_600] {
        crash(&mut evidence, ms, &[CRASHING]);
    }
    let mut trials_ms = Vec::new();
    for ms in (2_000..400_000).step_by(500) {
        if evidence.verdict(at(ms), &parts(&[CRASHING])) == CrashVerdict::Trial {
            let told = evidence.on_trial(at(ms), &parts(&[CRASHING]), 7);
            assert_eq!(told.len(), 1);
            trials_ms.push(ms);
            crash(&mut evidence, ms + 200, &[CRASHING]);
        }
    }

    assert!(trials_ms.first().is_some_and(|ms| *ms >= 31_600), "{trials_ms:?}");
    assert!(trials_ms.len() <= 3, "{trials_ms:?}");
}

/// A trial is told to the others, which then hold back.
#[test]
fn others_await_trial() {
    let mut evidence = CrashEvidence::default();
    for ms in [1_000, 1_300, 1_600] {
        crash(&mut evidence, ms, &[CRASHING]);
    }
    let mut other = evidence.clone();
    assert_eq!(other.verdict(at(40_000), &parts(&[CRASHING])), CrashVerdict::Trial);

    let told = evidence.on_trial(at(40_000), &parts(&[CRASHING]), 7);
    other.merge(at(40_001), &told);

    let verdict = other.verdict(at(40_010), &parts(&[CRASHING]));
    assert!(matches!(verdict, CrashVerdict::TurnedAway { .. }));
    let cleared = evidence.on_answered(at(40_200), &parts(&[CRASHING]));
    other.merge(at(40_201), &cleared);
    assert!(is_allowed(&other, 40_300, &[CRASHING]));
}

/// A process that starts learns of crashes from before its start.
#[test]
fn older_crashes_counted() {
    let mut evidence = CrashEvidence::default();
    for ms in [1_000, 1_300, 1_600] {
        crash(&mut evidence, ms, &[CRASHING]);
    }
    let mut started = CrashEvidence::default();

    started.merge(at(5), &evidence.marks(at(9_000)));

    assert!(!is_allowed(&started, 10, &[CRASHING]));
    assert_eq!(started.digest(), evidence.digest());
}

/// Callers choose the parts of their prompts.
#[test]
fn hostile_parts_bounded() {
    let mut evidence = CrashEvidence::default();
    for ms in [1_000, 1_300, 1_600] {
        crash(&mut evidence, ms, &[CRASHING]);
    }
    for number in 0..3_000 {
        let hostile: Vec<u64> = (0..33).map(|offset| 1_000 + number * 33 + offset).collect();
        crash(&mut evidence, 2_000 + number, &hostile);
    }

    assert!(evidence.marks(at(6_000)).len() <= CrashEvidence::MARKS_MAX);
    assert!(!is_allowed(&evidence, 6_000, &[CRASHING]));
}

/// One request is sent to one server after the other, beside sound ones of its caller.
#[test]
fn content_found() {
    let mut evidence = CrashEvidence::default();
    // The retry of the first arrival ends its server 60 ms later.
    for ms in [1_000, 1_060, 2_000] {
        assert_eq!(evidence.verdict(at(ms), &[content(1)]), CrashVerdict::Allowed);
        crash_under(&mut evidence, ms, 50, &[content(1), part(FIRST), part(ms)]);
    }

    assert_ne!(evidence.verdict(at(2_100), &[content(1), part(FIRST)]), CrashVerdict::Allowed);
    let verdict = evidence.verdict(at(2_100), &[content(2), part(FIRST), part(1_000)]);
    assert_eq!(verdict, CrashVerdict::Allowed);
}

/// A request that crashes servers shares its prompt with sound ones of the same caller.
#[test]
fn content_blamed_before_parts() {
    let mut evidence = CrashEvidence::default();
    for ms in [1_000, 2_000, 3_000] {
        crash_under(&mut evidence, ms, 50, &[content(1), part(FIRST), part(CRASHING)]);
    }

    assert_ne!(evidence.verdict(at(3_100), &[content(1)]), CrashVerdict::Allowed);
    let verdict = evidence.verdict(at(3_100), &[content(2), part(FIRST), part(CRASHING)]);
    assert_eq!(verdict, CrashVerdict::Allowed);

    crash_under(&mut evidence, 4_000, 50, &[content(2), part(FIRST), part(CRASHING)]);
    assert!(!is_allowed(&evidence, 4_100, &[FIRST, CRASHING]));
}

/// Load pattern: a request that many callers send waits at all servers of a rack when it fails,
/// and their ends are seen one after the other.
#[test]
fn content_at_once_allowed() {
    let mut evidence = CrashEvidence::default();
    for ms in [1_000, 1_030, 1_060, 1_090, 1_120, 1_150] {
        crash_under(&mut evidence, ms, 400, &[content(1)]);
    }

    assert_eq!(evidence.verdict(at(1_200), &[content(1)]), CrashVerdict::Allowed);
}

/// Two requests are at the same servers when they end; either may be the cause.
#[test]
fn equal_contents_both_held() {
    let mut evidence = CrashEvidence::default();
    for ms in [1_000, 2_000, 3_000] {
        crash_under(&mut evidence, ms, 50, &[content(1), content(2)]);
    }
    for number in [1, 2] {
        assert_ne!(evidence.verdict(at(3_100), &[content(number)]), CrashVerdict::Allowed);
    }
    assert_eq!(evidence.verdict(at(33_100), &[content(2)]), CrashVerdict::Trial);

    evidence.on_answered(at(33_200), &[content(2)]);

    assert_eq!(evidence.verdict(at(33_300), &[content(2)]), CrashVerdict::Allowed);
    assert_ne!(evidence.verdict(at(33_300), &[content(1)]), CrashVerdict::Allowed);
}

/// A sound request fails with the servers that another one ends, until that one is told apart.
#[test]
fn bystander_content_allowed() {
    let mut evidence = CrashEvidence::default();
    crash_under(&mut evidence, 1_000, 50, &[content(1)]);
    for ms in [2_000, 3_000, 4_000] {
        crash_under(&mut evidence, ms, 50, &[content(1), content(2)]);
    }

    assert_ne!(evidence.verdict(at(4_100), &[content(1)]), CrashVerdict::Allowed);
    assert_eq!(evidence.verdict(at(4_100), &[content(2)]), CrashVerdict::Allowed);
}

/// A request that comes again for an hour ends three more servers at most, each as a trial.
#[test]
fn content_trials_end() {
    let mut evidence = CrashEvidence::default();
    for ms in [1_000, 1_300, 1_600] {
        crash_under(&mut evidence, ms, 50, &[content(1)]);
    }
    let mut trials_ms = Vec::new();
    for ms in (2_000..3_500_000).step_by(500) {
        match evidence.verdict(at(ms), &[content(1)]) {
            CrashVerdict::Allowed => panic!("the request is held"),
            CrashVerdict::TurnedAway { .. } => {}
            CrashVerdict::Trial => {
                evidence.on_trial(at(ms), &[content(1)], 7);
                trials_ms.push(ms);
                crash_under(&mut evidence, ms + 60, 50, &[content(1)]);
            }
        }
    }

    assert_eq!(trials_ms.len(), 3, "{trials_ms:?}");
    assert!(trials_ms.iter().all(|ms| *ms >= 31_600), "{trials_ms:?}");
}

/// Load pattern: a storm of callers that leave early.
#[test]
fn abandoned_runs_bounded() {
    let (mut runs, server, other) = (AbandonedRuns::default(), CrashId::new(1), CrashId::new(2));
    runs.record(at(0), server, &[content(0)], 50);
    for number in 1..10_000 {
        runs.record(at(1_000), server, &[content(number)], 50);
    }
    runs.record(at(1_000), other, &[content(0)], 50);

    let taken = runs.take(at(1_400), server);

    assert!(taken.len() < 1_000, "{} requests", taken.len());
    assert_eq!(taken.last(), Some(&(content(9_999), 450)));
    assert!(runs.take(at(1_400), server).is_empty());
    assert!(runs.take(at(4_000), other).is_empty(), "the server has noticed by then");
}

fn arbitrary_marks() -> impl Strategy<Value = Vec<CrashMark>> {
    let flags = (any::<bool>(), any::<bool>());
    let mark = (0..6_u64, 0..6_u64, 0..2_000_u64, 0..300_u64, flags);
    let mark =
        mark.prop_map(|(number, crash, age_ms, run_ms, (is_cleared, was_sound))| CrashMark {
            suspect: if number < 4 { part(number) } else { content(number) },
            // A crash has one time, wherever it is known.
            age_ms: age_ms % 7 + crash * 250,
            crash: CrashId::new(crash),
            run_ms,
            is_cleared,
            was_sound,
        });
    proptest::collection::vec(mark, 0..40)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(32), ..ProptestConfig::default() })]

    #[test]
    fn merge_order_is_free(marks in arbitrary_marks(), seed in any::<u64>()) {
        let mut shuffled = marks.clone();
        shuffled.extend(marks.iter().copied().take(10));
        shuffled.sort_by_key(|mark| {
            (mark.run_ms ^ mark.crash.get().rotate_left(7) ^ mark.age_ms).wrapping_mul(seed | 1)
        });
        let (mut one, mut other) = (CrashEvidence::default(), CrashEvidence::default());

        one.merge(at(10_000), &marks);
        for mark in shuffled {
            other.merge(at(10_000), &[mark]);
        }

        prop_assert_eq!(one.digest(), other.digest());
        prop_assert_eq!(one.suspected(), other.suspected());
    }
}
