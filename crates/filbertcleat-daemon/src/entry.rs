//! The entry: the process that accepts callers' requests and sends attempts to agents.

mod async_requests;
mod body;
mod body_reader;
mod callers;
mod claims;
mod event;
mod operators;
mod outgoing_attempt;
mod pending_request;
mod request_headers;
mod role;
mod server;

pub(crate) use self::async_requests::AsyncRequestWorker;
pub(crate) use self::body_reader::BodyReader;
pub(crate) use self::callers::CallerContext;
pub(crate) use self::callers::serve_callers;
pub(crate) use self::event::EntryEvent;
pub(crate) use self::operators::serve_operators;
pub(crate) use self::role::EntryRole;
