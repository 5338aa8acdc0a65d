//! Claims of idempotency keys in the table service.

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

use super::event::ClaimResult;

/// The delay after a failed operation.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// The longest delay between attempts to complete a claim.
const CLAIM_COMPLETION_RETRY_DELAY_MAX: Duration = Duration::from_secs(10);
/// The time after which the completion of a claim is abandoned; a retry of its request then gets an
/// unknown outcome.
const CLAIM_COMPLETION_TIMEOUT: Duration = Duration::from_secs(7200);

/// Claims a key for a request, retrying for `timeout` at most.
pub(super) async fn claim(
    table: &impl Table,
    key: &str,
    request: &RequestId,
    node: NodeName,
    timeout: Duration,
) -> ClaimResult {
    let deadline = Instant::now() + timeout;
    let mut claim = Claim::new(key, request.as_str(), node);
    let mut op = claim.begin();
    loop {
        let result = table.execute(&op).await;
        match claim.on_result(&result) {
            ClaimStep::Acquired { revision } => return ClaimResult::Acquired { revision },
            ClaimStep::AlreadyClaimed(row) => return ClaimResult::AlreadyClaimed(row),
            ClaimStep::Execute(next) => op = next,
            ClaimStep::Retry(next) => {
                tokio::time::sleep(RETRY_DELAY).await;
                op = next;
            }
        }
        if Instant::now() >= deadline {
            return ClaimResult::Unavailable;
        }
    }
}

/// Writes the outcome of a claimed request, or releases the claim if `outcome` is `None`.
pub(super) async fn complete_claim(
    table: &impl Table,
    key: &str,
    request: &RequestId,
    outcome: Option<ClaimRow>,
    revision: Option<u64>,
) {
    let deadline = Instant::now() + CLAIM_COMPLETION_TIMEOUT;
    let mut completion = ClaimCompletion::new(key, request.as_str(), outcome, revision);
    let mut op = completion.begin();
    let mut delay = RETRY_DELAY;
    while Instant::now() < deadline {
        let result = table.execute(&op).await;
        match completion.on_result(&result) {
            ClaimCompletionStep::Done => return,
            ClaimCompletionStep::Execute(next) => op = next,
            ClaimCompletionStep::Retry(next) => {
                tokio::time::sleep(delay).await;
                delay = (delay * 2).min(CLAIM_COMPLETION_RETRY_DELAY_MAX);
                op = next;
            }
        }
    }
}
