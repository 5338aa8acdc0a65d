//! Asynchronous requests, whose answer the caller fetches later (`Prefer: respond-async`).
//!
//! A request is stored in the object store and a table row before the caller gets a response. Any
//! entry claims it by a conditional write of the row, and writes the answer into the row. That
//! makes four writes for each request.

mod accept;
mod row;
mod run;
mod worker;

pub(super) use self::accept::accept;
pub(super) use self::accept::fetch;
pub(crate) use self::worker::AsyncRequestWorker;
