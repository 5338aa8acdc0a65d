//! The entry: the process that accepts callers' requests and sends attempts to agents.

mod body;
mod callers;
mod claims;
mod deferred;
mod event;
mod operators;
mod outgoing_attempt;
mod pending_request;
mod request_headers;
mod role;
mod server;

pub(crate) use self::callers::CallerContext;
pub(crate) use self::callers::serve_callers;
pub(crate) use self::deferred::DeferredWorker;
pub(crate) use self::event::EntryEvent;
pub(crate) use self::operators::serve_operators;
pub(crate) use self::role::EntryRole;
