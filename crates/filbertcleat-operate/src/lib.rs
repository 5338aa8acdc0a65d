//! The data that operators get: the status of each process and its timeline of events.

mod event;
mod status;
mod timeline;

pub use event::Event;
pub use event::EventKind;
pub use status::ProcessStatus;
pub use status::ReplicaStatus;
pub use timeline::TimelinePage;
pub use timeline::merge_pages;
