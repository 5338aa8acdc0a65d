//! The updates that entries and agents send each other.

mod agent;
mod demand;
mod entry;
mod loaded_adapter;
mod stage;

pub use self::agent::AgentUpdate;
pub use self::demand::ModelDemand;
pub use self::entry::AdapterDemand;
pub use self::entry::EntryUpdate;
pub use self::loaded_adapter::LoadedAdapter;
pub use self::stage::AdapterStage;
