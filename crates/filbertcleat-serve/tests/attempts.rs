//! Whether a request may be sent again after a failure.

use filbertcleat_serve::Attempts;
use filbertcleat_serve::FailedAttempt;
use filbertcleat_serve::NextAttempt;
use filbertcleat_serve::RetryPolicy;
use rstest::rstest;

const UNKNOWN: FailedAttempt = FailedAttempt { may_have_run: true, has_arrived: true };
const NOT_RUN: FailedAttempt = FailedAttempt { may_have_run: false, has_arrived: true };
const NOT_ARRIVED: FailedAttempt = FailedAttempt { may_have_run: false, has_arrived: false };
const PLAIN: RetryPolicy = RetryPolicy::Stream { resumable: false };
const RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: true };

fn attempts(rule: RetryPolicy) -> Attempts {
    Attempts {
        retry_policy: rule,
        attempts_made: 1,
        attempts_max: 2,
        servers_tried: 1,
        is_time_left: true,
    }
}

#[rstest]
#[case::once(RetryPolicy::AtMostOnce, UNKNOWN, NextAttempt::Stop)]
#[case::plain_stream(PLAIN, UNKNOWN, NextAttempt::Stop)]
#[case::resumable(RESUMABLE, UNKNOWN, NextAttempt::Retry)]
#[case::idempotent(RetryPolicy::Idempotent, UNKNOWN, NextAttempt::Retry)]
#[case::once_not_run(RetryPolicy::AtMostOnce, NOT_RUN, NextAttempt::Retry)]
#[case::once_not_arrived(RetryPolicy::AtMostOnce, NOT_ARRIVED, NextAttempt::Unbudgeted)]
fn depends_on_policy(
    #[case] policy: RetryPolicy,
    #[case] failed: FailedAttempt,
    #[case] next: NextAttempt,
) {
    assert_eq!(attempts(policy).next_after(failed), next);
}

#[rstest]
#[case::unknown(UNKNOWN)]
#[case::not_run(NOT_RUN)]
#[case::not_arrived(NOT_ARRIVED)]
fn no_retry_after_deadline(#[case] failed: FailedAttempt) {
    let late = Attempts { is_time_left: false, ..attempts(RetryPolicy::Idempotent) };

    assert_eq!(late.next_after(failed), NextAttempt::Stop);
}

#[test]
fn sends_are_limited() {
    let spent = Attempts { attempts_made: 2, ..attempts(RetryPolicy::Idempotent) };

    assert_eq!(spent.next_after(UNKNOWN), NextAttempt::Stop);
    assert_eq!(spent.next_after(NOT_RUN), NextAttempt::Stop);
    assert_eq!(
        spent.next_after(NOT_ARRIVED),
        NextAttempt::Unbudgeted,
        "a request that did not arrive is no send"
    );
}

#[test]
fn servers_are_limited() {
    let exhausted =
        Attempts { servers_tried: 4, attempts_made: 0, ..attempts(RetryPolicy::AtMostOnce) };

    assert_eq!(exhausted.next_after(NOT_ARRIVED), NextAttempt::Stop);
}
