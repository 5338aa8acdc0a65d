//! What entries and agents tell each other.

mod agent;
mod demand;
mod entry;
mod held;
mod stage;

pub use self::agent::AgentUpdate;
pub use self::demand::ModelDemand;
pub use self::entry::AdapterDemand;
pub use self::entry::EntryUpdate;
pub use self::held::LoadedAdapter;
pub use self::stage::AdapterStage;
