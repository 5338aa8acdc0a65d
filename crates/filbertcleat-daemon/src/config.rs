//! The configuration in force, and how newer versions are fetched and published.

mod event;
mod fetch;
mod publish;
mod snapshot;
mod state;

pub(crate) use self::event::ConfigEvent;
pub(crate) use self::fetch::fetch_from_peer;
pub(crate) use self::fetch::fetch_from_store;
pub(crate) use self::publish::publish;
pub(crate) use self::snapshot::write_snapshot;
pub(crate) use self::state::ConfigState;
