//! Clients for the engines and the platform's services.
//!
//! The engine, the table service, the object store and the VM list are met through HTTP. All
//! paths and field names stand in `paths` and beside the call that uses them.

mod engine;
mod error;
mod http;
mod objects;
pub mod paths;
mod sse;
mod table;
mod vms;

pub use engine::AdapterListing;
pub use engine::CacheEvent;
pub use engine::CompletionRequest;
pub use engine::EngineAdapter;
pub use engine::EngineClient;
pub use engine::EngineEvent;
pub use engine::EngineStats;
pub use engine::EngineStream;
pub use error::CallError;
pub use http::HttpClient;
pub use http::HttpRequest;
pub use http::HttpResponse;
pub use objects::HttpObjectStore;
pub use objects::ObjectStore;
pub use sse::SseParser;
pub use table::HttpTable;
pub use table::Table;
pub use table::TableRow;
pub use vms::Vm;
pub use vms::VmListClient;
pub use vms::VmState;
