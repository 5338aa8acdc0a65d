//! The catalogue of configurations, adapter versions and backend servers.

mod data;
mod event;
mod response;
mod topic;

use std::time::Duration;

pub use self::data::CatalogueData;
pub use self::event::CatalogueEvent;
pub use self::response::CatalogueResponse;
pub use self::topic::Topic;

/// The store in which operators and backend servers publish their state.
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
}
