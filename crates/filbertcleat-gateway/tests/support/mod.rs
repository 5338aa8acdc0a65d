//! Stand-ins for what an entry speaks with, and a caller, all on loopback.

#![allow(dead_code, reason = "each test file uses a part of this")]

pub mod backend;
mod caller;
mod catalogue;
mod dialect;
pub mod world;

pub use backend::Backend;
pub use backend::Script;
pub use caller::Call;
pub use caller::Caller;
pub use catalogue::TestCatalogue;
pub use dialect::TestDialect;
pub use world::World;
pub use world::route;
