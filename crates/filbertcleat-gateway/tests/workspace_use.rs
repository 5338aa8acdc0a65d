//! Which workspaces have metrics of their own.

use filbertcleat_base::MonoTime;
use filbertcleat_gateway::AllowanceOutcome;
use filbertcleat_gateway::OutcomeCounts;
use filbertcleat_gateway::WorkspaceUse;
use filbertcleat_serve::Allowance;
use filbertcleat_serve::AllowanceUnit;

const ALLOWANCE: Allowance =
    Allowance { rate_per_s: 9.0, burst: 9.0, unit: AllowanceUnit::Requests };
const ROWS: u64 = WorkspaceUse::ROWS_MAX as u64;

/// Counts a request of each of the workspaces, with a cost.
fn count_each(
    shown: &mut WorkspaceUse,
    ms: u64,
    numbers: std::ops::Range<u64>,
    cost: impl Fn(u64) -> u64,
) {
    for number in numbers {
        let name = format!("w{number}");
        shown.count(
            MonoTime::from_ms(ms),
            &name,
            &ALLOWANCE,
            cost(number),
            AllowanceOutcome::Taken,
        );
    }
}

fn has_row(shown: &WorkspaceUse, ms: u64, name: &str) -> bool {
    shown.rows(MonoTime::from_ms(ms)).iter().any(|row| row.label == name)
}

/// Guards against rows that stay with the first workspaces, and against requests that are lost or
/// counted twice when a row changes hands.
#[test]
fn busiest_replace_first() {
    let mut shown = WorkspaceUse::default();
    count_each(&mut shown, 1_000, 0..2 * ROWS, |number| 100 + number);
    count_each(&mut shown, 1_001, ROWS..ROWS + 3, |_| 5_000);

    shown.select(MonoTime::from_ms(1_002));
    count_each(&mut shown, 1_003, 0..2 * ROWS, |_| 1);

    let rows = shown.rows(MonoTime::from_ms(1_003));
    assert_eq!(rows.len(), WorkspaceUse::ROWS_MAX);
    assert_eq!(rows[0].label, format!("w{}", ROWS + 2));
    for number in 0..3 {
        assert!(!has_row(&shown, 1_003, &format!("w{number}")), "w{number} has the least use");
        assert!(has_row(&shown, 1_003, &format!("w{}", ROWS + number)));
    }
    let counted: u64 = rows.iter().map(|row| row.counts.taken).sum();
    assert_eq!(counted + shown.others().taken, 4 * ROWS + 3);
}

/// Guards against series that come and go while workspaces have about the same use.
#[test]
fn similar_use_keeps_rows() {
    let mut shown = WorkspaceUse::default();
    for second in 0..60 {
        count_each(&mut shown, second * 1_000, 0..ROWS, |number| 100 + (number + second) % 30);
        count_each(&mut shown, second * 1_000, ROWS..ROWS + 8, |number| 100 + number % 30);
        shown.select(MonoTime::from_ms(second * 1_000));
    }

    for number in 0..ROWS {
        assert!(has_row(&shown, 60_000, &format!("w{number}")), "w{number}");
    }
}

/// Guards against refused requests that count as use.
#[test]
fn refused_requests_are_no_use() {
    let mut shown = WorkspaceUse::default();
    let now = MonoTime::from_ms(1_000);
    shown.count(now, "w 1", &ALLOWANCE, 70, AllowanceOutcome::Refused);
    shown.count(now, "w 1", &ALLOWANCE, 50, AllowanceOutcome::Taken);

    let rows = shown.rows(now);

    assert_eq!((rows[0].label, rows[0].use_per_s), ("w_1", 5.0));
    assert_eq!(rows[0].counts, OutcomeCounts { taken: 1, refused: 1, unknown: 0 });
}
