//! HTTP clients for model engines and the platform's services.
//!
//! The services are the table service, the object store and the VM list. The paths and headers of
//! their protocols are defined in [`paths`]; the JSON fields are defined by the types and requests
//! that use them.

mod call_error;
mod engine;
mod http;
mod object_store;
pub mod paths;
mod sse;
mod table;
mod vm_list;

pub use call_error::CallError;
pub use engine::AdapterListing;
pub use engine::CacheEvent;
pub use engine::CompletionRequest;
pub use engine::EngineAdapter;
pub use engine::EngineClient;
pub use engine::EngineEvent;
pub use engine::EngineStats;
pub use engine::EngineStream;
pub use http::BoundedResponse;
pub use http::HttpClient;
pub use http::HttpRequest;
pub use http::HttpResponse;
pub use object_store::HttpObjectStore;
pub use object_store::ObjectStore;
pub use sse::SseParser;
pub use table::HttpTable;
pub use table::Table;
pub use table::TableRow;
pub use vm_list::Vm;
pub use vm_list::VmListClient;
pub use vm_list::VmState;
