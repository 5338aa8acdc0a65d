//! The configuration in force and how it moves on.

mod event;
mod follow;
mod publish;
mod snapshot;
mod state;

pub(crate) use self::event::ConfigEvent;
pub(crate) use self::follow::follow_peer;
pub(crate) use self::follow::follow_store;
pub(crate) use self::publish::publish;
pub(crate) use self::snapshot::write_snapshot;
pub(crate) use self::state::ConfigState;
