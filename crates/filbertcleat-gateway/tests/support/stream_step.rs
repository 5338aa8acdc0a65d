//! The steps of a scripted stream.

use std::time::Duration;

/// One step of a scripted stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamStep {
    /// Sends nothing for a while.
    Wait(Duration),
    /// Sends the next events, at most this many, in one write.
    Events(u64),
    /// Sends the next event in two writes with a pause between them.
    SplitEvent(Duration),
    /// Sends half of the next event.
    HalfEvent,
    /// Sends a comment.
    Comment,
    /// Leaves out the next events.
    Skip(u64),
    /// Goes back to the first event.
    Rewind,
    /// Sends an event without an id, whose data has the next number.
    Unnumbered,
    /// Sends the next event without data.
    IdOnly,
    /// Ends the body where it is.
    End,
    /// Sends the events that are left, ends the body and sends a copy of the response on the same connection.
    EndTwice,
    /// Closes the connection in order.
    Close,
    /// Resets the connection.
    Reset,
    /// Ends the server for a time, which closes all its connections in order.
    EndServer(Duration),
}
