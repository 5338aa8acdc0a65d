//! The catalogue of configurations, adapter versions and backend servers.

mod data;
mod event;
mod keep_response;
mod response;
mod topic;
mod watch_limits;

use filbertcleat_base::Fault;
use filbertcleat_serve::KeptRow;
use filbertcleat_serve::OriginRow;
use filbertcleat_serve::OutdatedRow;
use filbertcleat_serve::RouteRow;

pub use self::data::CatalogueData;
pub use self::event::CatalogueEvent;
pub use self::keep_response::KeepOutcome;
pub use self::keep_response::KeepResponse;
pub use self::response::CatalogueResponse;
pub use self::topic::Topic;
pub use self::watch_limits::WatchLimits;

/// The store in which operators and backend servers publish their state, and entries keep facts.
pub trait Catalogue: Clone + 'static {
    /// Lists all current entries of a topic.
    fn list(&self, topic: Topic) -> impl Future<Output = CatalogueResponse>;

    /// Waits for changes after the cursor `after`. Fails after the silence of `limits`.
    fn watch(
        &self,
        topic: Topic,
        after: u64,
        limits: WatchLimits,
    ) -> impl Future<Output = CatalogueResponse>;

    /// Replaces the row that keeps marks, if it still has the version of `row`.
    fn keep(&self, row: &KeptRow) -> impl Future<Output = KeepResponse<KeptRow>>;

    /// Replaces the row that keeps the targets of routes, if it still has the version of `row`.
    fn keep_routes(&self, row: &RouteRow) -> impl Future<Output = KeepResponse<RouteRow>>;

    /// Replaces the row in which a node keeps origins of streams, if it still has the version of
    /// `row`.
    fn keep_origins(&self, row: &OriginRow) -> impl Future<Output = KeepResponse<OriginRow>>;

    /// Removes rows of origins, if all of them still have their versions. Fails otherwise.
    fn remove_origins(&self, rows: &[OutdatedRow]) -> impl Future<Output = Result<(), Fault>>;
}
