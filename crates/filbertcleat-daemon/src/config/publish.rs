//! Publishes a patch in the table service.

use std::time::Duration;

use filbertcleat_base::ConfigVersion;
use filbertcleat_config::Patch;
use filbertcleat_config::PatchError;
use filbertcleat_platform::Table;
use filbertcleat_store::PatchPublication;
use filbertcleat_store::PublicationStep;
use tokio::time::Instant;

/// The time after which an operator is sent the error that the table service has not answered.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);
/// The delay after a failed operation.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Publishes a patch as the next version, or returns the reason why that failed.
pub(crate) async fn publish(table: &impl Table, patch: Patch) -> Result<ConfigVersion, PatchError> {
    let deadline = Instant::now() + PUBLISH_TIMEOUT;
    let mut publication = PatchPublication::new(patch);
    let mut op = publication.begin();
    loop {
        let result = table.execute(&op).await;
        match publication.on_result(&result) {
            PublicationStep::Accepted(version) => return Ok(version),
            PublicationStep::Rejected(error) => return Err(error),
            PublicationStep::Execute(next) => op = next,
            PublicationStep::Retry(next) => {
                tokio::time::sleep(RETRY_DELAY).await;
                op = next;
            }
        }
        if Instant::now() >= deadline {
            return Err(publication.abandon("no answer in time"));
        }
    }
}
