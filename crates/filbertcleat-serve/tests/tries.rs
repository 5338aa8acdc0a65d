//! Whether a request may be sent once more after a failure.

use filbertcleat_serve::Failed;
use filbertcleat_serve::NextTry;
use filbertcleat_serve::RunRule;
use filbertcleat_serve::Tries;
use rstest::rstest;

const UNKNOWN: Failed = Failed { may_have_run: true, has_arrived: true };
const NOT_RUN: Failed = Failed { may_have_run: false, has_arrived: true };
const NOT_ARRIVED: Failed = Failed { may_have_run: false, has_arrived: false };
const PLAIN: RunRule = RunRule::Stream { resumable: false };
const RESUMABLE: RunRule = RunRule::Stream { resumable: true };

fn tries(rule: RunRule) -> Tries {
    Tries { rule, sends: 1, sends_max: 2, servers: 1, is_time_left: true }
}

#[rstest]
#[case::once(RunRule::Once, UNKNOWN, NextTry::None)]
#[case::plain_stream(PLAIN, UNKNOWN, NextTry::None)]
#[case::resumable(RESUMABLE, UNKNOWN, NextTry::Repeat)]
#[case::idempotent(RunRule::Idempotent, UNKNOWN, NextTry::Repeat)]
#[case::once_not_run(RunRule::Once, NOT_RUN, NextTry::Repeat)]
#[case::once_not_arrived(RunRule::Once, NOT_ARRIVED, NextTry::Free)]
fn by_rule(#[case] rule: RunRule, #[case] failed: Failed, #[case] next: NextTry) {
    assert_eq!(tries(rule).after(failed), next);
}

#[rstest]
#[case::unknown(UNKNOWN)]
#[case::not_run(NOT_RUN)]
#[case::not_arrived(NOT_ARRIVED)]
fn none_without_time(#[case] failed: Failed) {
    let late = Tries { is_time_left: false, ..tries(RunRule::Idempotent) };

    assert_eq!(late.after(failed), NextTry::None);
}

#[test]
fn sends_are_bounded() {
    let spent = Tries { sends: 2, ..tries(RunRule::Idempotent) };

    assert_eq!(spent.after(UNKNOWN), NextTry::None);
    assert_eq!(spent.after(NOT_RUN), NextTry::None);
    assert_eq!(spent.after(NOT_ARRIVED), NextTry::Free, "it is no send");
}

#[test]
fn servers_are_bounded() {
    let weary = Tries { servers: 4, sends: 0, ..tries(RunRule::Once) };

    assert_eq!(weary.after(NOT_ARRIVED), NextTry::None);
}
