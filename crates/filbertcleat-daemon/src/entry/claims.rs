//! Claims of non-idempotent requests in the table service.

use std::time::Duration;

use filbertcleat_base::NodeName;
use filbertcleat_base::RequestId;
use filbertcleat_platform::Table;
use filbertcleat_store::Claim;
use filbertcleat_store::ClaimCompletion;
use filbertcleat_store::ClaimCompletionStep;
use filbertcleat_store::ClaimRow;
use filbertcleat_store::ClaimStep;
use tokio::time::Instant;

use super::event::ClaimEnd;

/// The pause after a failed operation.
const PAUSE: Duration = Duration::from_millis(100);
/// The longest pause between tries to settle.
const SETTLE_PAUSE_MAX: Duration = Duration::from_secs(10);
/// The time after which a claim is left unsettled; a repeat then learns that it is unknown.
const SETTLE_WITHIN: Duration = Duration::from_secs(7200);

/// Claims a key, and tries for `wait` at most.
pub(super) async fn claim(
    table: &impl Table,
    key: &str,
    request: &RequestId,
    node: NodeName,
    wait: Duration,
) -> ClaimEnd {
    let deadline = Instant::now() + wait;
    let mut claim = Claim::new(key, request.as_str(), node);
    let mut op = claim.begin();
    loop {
        let result = table.execute(&op).await;
        match claim.on_result(&result) {
            ClaimStep::Acquired { revision } => return ClaimEnd::Won { revision },
            ClaimStep::AlreadyClaimed(row) => return ClaimEnd::Taken(row),
            ClaimStep::Execute(next) => op = next,
            ClaimStep::Retry(next) => {
                tokio::time::sleep(PAUSE).await;
                op = next;
            }
        }
        if Instant::now() >= deadline {
            return ClaimEnd::Unavailable;
        }
    }
}

/// Writes the outcome of a claimed request, or releases its claim.
pub(super) async fn settle(
    table: &impl Table,
    key: &str,
    request: &RequestId,
    outcome: Option<ClaimRow>,
    revision: Option<u64>,
) {
    let deadline = Instant::now() + SETTLE_WITHIN;
    let mut settle = ClaimCompletion::new(key, request.as_str(), outcome, revision);
    let mut op = settle.begin();
    let mut pause = PAUSE;
    while Instant::now() < deadline {
        let result = table.execute(&op).await;
        match settle.on_result(&result) {
            ClaimCompletionStep::Done => return,
            ClaimCompletionStep::Execute(next) => op = next,
            ClaimCompletionStep::Retry(next) => {
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(SETTLE_PAUSE_MAX);
                op = next;
            }
        }
    }
}
