//! The result of a call to an engine, with what the engine announced.

use crate::ServerNotice;

/// The result of a call to the engine, with what the engine announced in the answer.
#[derive(Clone, Debug)]
pub struct EngineAnswer<T> {
    /// The result of the call.
    pub result: T,
    /// What the engine announced, or nothing if there was no answer.
    pub notice: ServerNotice,
}
