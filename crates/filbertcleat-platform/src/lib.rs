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

pub use engine::CacheEvent;
pub use engine::CompletionCall;
pub use engine::Engine;
pub use engine::EngineAdapter;
pub use engine::EngineEvent;
pub use engine::EngineListing;
pub use engine::EngineStream;
pub use engine::LoadReport;
pub use error::CallError;
pub use http::HttpAnswer;
pub use http::HttpCall;
pub use http::HttpClient;
pub use objects::HttpObjects;
pub use objects::Objects;
pub use sse::SseParser;
pub use table::HttpTable;
pub use table::Row;
pub use table::Table;
pub use vms::HttpVms;
pub use vms::Vm;
pub use vms::VmState;
