//! The list of configurations and backend servers.

mod changes;
mod topic;

use std::time::Duration;

use filbertcleat_base::Fault;

pub use self::changes::CatalogueEvent;
pub use self::changes::CatalogueResponse;
pub use self::topic::Topic;

/// Where operators and backend servers say what they want known.
pub trait Catalogue: Clone + 'static {
    /// Reads everything on a topic.
    fn list(&self, topic: Topic) -> impl Future<Output = Result<CatalogueResponse, Fault>>;

    /// Waits up to `wait` for changes after a cursor.
    fn watch(
        &self,
        topic: Topic,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<CatalogueResponse, Fault>>;
}
