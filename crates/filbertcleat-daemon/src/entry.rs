//! The process before the callers.

mod attempts;
mod body;
mod caller;
mod callers;
mod claims;
mod event;
mod nightly;
mod operators;
mod request;
mod role;
mod server;

pub(crate) use self::callers::CallerGate;
pub(crate) use self::callers::serve_callers;
pub(crate) use self::event::EntryEvent;
pub(crate) use self::nightly::NightDesk;
pub(crate) use self::operators::serve_operators;
pub(crate) use self::role::EntryRole;
