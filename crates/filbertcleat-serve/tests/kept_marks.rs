//! The row that keeps marks of crashes beyond the processes that know them.

use filbertcleat_base::MonoTime;
use filbertcleat_serve::CrashEvidence;
use filbertcleat_serve::CrashId;
use filbertcleat_serve::CrashMark;
use filbertcleat_serve::CrashSuspect;
use filbertcleat_serve::KeepStep;
use filbertcleat_serve::KeptMarks;
use filbertcleat_serve::KeptRow;
use filbertcleat_serve::RequestContent;

fn at(ms: u64) -> MonoTime {
    MonoTime::from_ms(ms)
}

fn content(number: u64) -> CrashSuspect {
    CrashSuspect::Content(RequestContent::new(number))
}

fn crash(evidence: &mut CrashEvidence, ms: u64, number: u64) {
    evidence.on_server_ended(at(ms), CrashId::new(ms), 0, [(content(number), 50)]);
}

/// Returns evidence that turns away content 1.
fn evidence() -> CrashEvidence {
    let mut evidence = CrashEvidence::default();
    for ms in [1_000, 2_000, 3_000] {
        crash(&mut evidence, ms, 1);
    }
    evidence
}

/// Returns the state of a process that has read an empty row.
fn kept() -> KeptMarks {
    let mut kept = KeptMarks::new(at(0));
    assert_eq!(kept.step(at(0), &CrashEvidence::default(), false), KeepStep::Read);
    kept.on_read(KeptRow::default());
    assert!(is_wait(&kept.step(at(0), &CrashEvidence::default(), false)));
    kept
}

fn written(step: KeepStep) -> KeptRow {
    let KeepStep::Write(row) = step else { panic!("{step:?} is no write") };
    row
}

fn is_wait(step: &KeepStep) -> bool {
    matches!(step, KeepStep::Wait { .. })
}

#[test]
fn suspects_kept() {
    let (mut kept, mut evidence) = (kept(), CrashEvidence::default());
    assert!(is_wait(&kept.step(at(10), &evidence, false)));
    crash(&mut evidence, 900, 2);
    kept.on_seen();
    assert!(is_wait(&kept.step(at(910), &evidence, false)), "one end explains nothing");

    for ms in [1_000, 2_000, 3_000] {
        crash(&mut evidence, ms, 1);
    }
    kept.on_seen();
    let row = written(kept.step(at(3_010), &evidence, false));

    assert_eq!((row.version, row.marks.len()), (0, 3));
    assert!(row.marks.iter().all(|mark| mark.suspect == content(1)));
    kept.on_written(KeptRow { version: 4, ..row });
    assert!(is_wait(&kept.step(at(3_020), &evidence, false)));
}

/// Without a way to other entries each end is kept, since three entries may see one each.
#[test]
fn isolated_keeps_all() {
    let (mut kept, mut evidence) = (kept(), CrashEvidence::default());
    crash(&mut evidence, 100, 1);
    let KeepStep::Wait { until: Some(until) } = kept.step(at(200), &evidence, true) else {
        panic!("the agents may be heard again")
    };

    let row = written(kept.step(until, &evidence, true));

    assert_eq!(row.marks.len(), 1);
    kept.on_written(KeptRow { version: 4, ..row });
    assert_eq!(kept.step(until.plus_ms(1), &evidence, true), KeepStep::Watch);
    assert!(is_wait(&kept.step(until.plus_ms(2), &evidence, false)));
}

/// An entry that starts has not heard any agent yet, and has just read the row.
#[test]
fn start_awaits_agents() {
    let (mut kept, evidence) = (KeptMarks::new(at(0)), CrashEvidence::default());
    assert_eq!(kept.step(at(0), &evidence, true), KeepStep::Read);
    kept.on_read(KeptRow::default());

    assert!(is_wait(&kept.step(at(2_900), &evidence, true)));
    assert_eq!(kept.step(at(3_000), &evidence, true), KeepStep::Watch);
}

/// Two entries write at once. The second adds what the first one did not know.
#[test]
fn conflict_merges() {
    let (mut kept, mut evidence) = (kept(), evidence());
    kept.on_seen();
    written(kept.step(at(3_010), &evidence, false));
    let mut other = CrashEvidence::default();
    for ms in [1_500, 2_500, 3_500] {
        crash(&mut other, ms, 7);
    }
    let row = KeptRow { version: 9, marks: other.marks(at(3_600)) };

    evidence.merge(at(3_600), &row.marks);
    kept.on_conflict(at(3_600), row, 0);
    let row = written(kept.step(at(3_600), &evidence, false));

    assert_eq!((row.version, row.marks.len()), (9, 6));
}

/// A write without an answer may have taken effect, so that the row is read before the next.
#[test]
fn lost_answer_read_back() {
    let (mut kept, evidence) = (kept(), evidence());
    kept.on_seen();
    let row = written(kept.step(at(3_010), &evidence, false));
    kept.on_failed(at(4_000));
    let KeepStep::Wait { until: Some(until) } = kept.step(at(4_001), &evidence, false) else {
        panic!("a pause follows a failure")
    };

    assert_eq!(kept.step(until, &evidence, false), KeepStep::Read);
    kept.on_read(KeptRow { version: 4, ..row });

    assert!(is_wait(&kept.step(until, &evidence, false)));
}

/// Guards against an entry that is in touch again after a long loss and has not read the row: the call
/// under way when the loss ends, the pause after it and the next call fit within the time of contact.
#[test]
fn row_read_in_touch() {
    const CONTACT_MS: u64 = 3_000;
    const CALL_MS: u64 = 1_000;
    let (mut kept, evidence) = (kept(), evidence());
    let mut now_ms = 10_000;
    for _ in 0..30 {
        now_ms += CALL_MS;
        kept.on_failed(at(now_ms));
        let KeepStep::Wait { until: Some(until) } = kept.step(at(now_ms), &evidence, true) else {
            panic!("a pause follows a failure")
        };
        let pause_ms = until.ms_since(at(now_ms));
        assert!(CALL_MS + pause_ms + CALL_MS <= CONTACT_MS, "a pause of {pause_ms} ms");
        assert_eq!(kept.step(until, &evidence, true), KeepStep::Read);
        now_ms += pause_ms;
    }
}

/// Marks of others in the row stay, and those that an answer has cleared tell so.
#[test]
fn cleared_marks_told() {
    let (mut kept, mut evidence) = (kept(), evidence());
    let lone = CrashMark {
        suspect: content(8),
        crash: CrashId::new(8),
        age_ms: 10,
        run_ms: 50,
        is_cleared: false,
        was_sound: false,
    };
    evidence.merge(at(3_100), &[lone]);
    let marks = evidence.marks(at(3_100));
    kept.on_read(KeptRow { version: 5, marks: marks.clone() });
    assert!(is_wait(&kept.step(at(3_100), &evidence, false)));

    evidence.on_answered(at(3_200), &[content(1)]);
    kept.on_seen();
    let row = written(kept.step(at(3_210), &evidence, false));

    let open: Vec<_> = row.marks.iter().filter(|mark| !mark.is_cleared).collect();
    assert_eq!((row.marks.len(), open.len()), (4, 1));
    assert_eq!(open[0].suspect, content(8));
}

/// Of many entries that are told, few check that what they were told is kept.
#[test]
fn few_check() {
    let evidence = evidence();
    let mut checkers = 0;
    for number in 0..410_u64 {
        let mut kept = kept();
        kept.on_told(at(3_010), 410, number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        checkers += u32::from(kept.step(at(7_000), &evidence, false) == KeepStep::Read);
    }

    assert!((1..=12).contains(&checkers), "{checkers} of 410 entries check");
}

/// Load pattern: hostile callers, whose requests mark many suspects at entries that hear no agent.
#[test]
fn row_bounded() {
    let mut evidence = evidence();
    for number in 0..2_000 {
        crash(&mut evidence, 4_000 + number, 100 + number);
    }

    let marks = evidence.marks_to_keep(at(7_000), &[], true);
    let again = evidence.marks_to_keep(at(7_000), &marks, true);

    assert_eq!(marks.len(), CrashEvidence::KEPT_MAX);
    assert_eq!(marks.iter().filter(|mark| mark.suspect == content(1)).count(), 3);
    assert_eq!(again, marks, "two entries don't displace each other's marks");
}
