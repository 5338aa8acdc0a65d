//! The catalogue of configurations, adapter versions and backend servers.

mod data;
mod event;
mod keep_response;
mod response;
mod topic;

use std::time::Duration;

use filbertcleat_serve::KeptRow;

pub use self::data::CatalogueData;
pub use self::event::CatalogueEvent;
pub use self::keep_response::KeepOutcome;
pub use self::keep_response::KeepResponse;
pub use self::response::CatalogueResponse;
pub use self::topic::Topic;

/// The store in which operators and backend servers publish their state, and entries keep facts.
pub trait Catalogue: Clone + 'static {
    /// Lists all current entries of a topic.
    fn list(&self, topic: Topic) -> impl Future<Output = CatalogueResponse>;

    /// Waits up to `wait` for changes after the cursor `after`.
    fn watch(
        &self,
        topic: Topic,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = CatalogueResponse>;

    /// Replaces the row that keeps marks, if it still has the version of `row`.
    fn keep(&self, row: &KeptRow) -> impl Future<Output = KeepResponse>;
}
