//! The refusal of memory for a body.

/// There is no memory for a body, also not that of bodies that arrive more slowly.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoRoom;
