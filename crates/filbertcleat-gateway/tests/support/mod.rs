//! Fake backend servers, a fake catalogue and a caller for tests of an entry, all on loopback.

#![allow(dead_code, unused_imports, reason = "each test file uses only some of these items")]

pub mod backend;
pub mod caller;
mod catalogue;
pub mod crash_site;
mod demanding_entry;
mod dialect;
pub mod idle_agent;
pub mod log_lines;
pub mod panic_count;
pub mod power_site;
mod scripted_stream;
pub mod site;
mod stream_step;
pub mod world;

pub use backend::Backend;
pub use backend::Identity;
pub use backend::Script;
pub use caller::Call;
pub use caller::Caller;
pub use catalogue::TestCatalogue;
pub use crash_site::CrashSite;
pub use demanding_entry::DemandingEntry;
pub use dialect::TestDialect;
pub use power_site::PowerSite;
pub use scripted_stream::Framing;
pub use scripted_stream::ScriptedStream;
pub use site::Site;
pub use stream_step::StreamStep;
pub use world::World;
pub use world::route;
