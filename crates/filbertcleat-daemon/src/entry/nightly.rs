//! Accepted work that is answered later.
//!
//! A request is durable in the object store and a table row before the caller is told so. Any
//! entry takes it up by a conditional write of the row, and writes the answer into the row. That
//! makes four writes for each request.

mod accept;
mod desk;
mod row;
mod run;

pub(super) use self::accept::accept;
pub(super) use self::accept::fetch;
pub(crate) use self::desk::NightDesk;
