//! The priority of a call in an engine.

use filbertcleat_base::Class;

/// The priority of a call in an engine; when its batch is full, the engine pauses calls of lower
/// priority.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// A key-account call.
    KeyAccount,
    /// A routine call.
    Routine,
    /// A call beyond its adapter's fair share, which only uses capacity that is otherwise idle.
    Backfill,
}

impl Priority {
    /// Returns the priority of a call of a class; `over_share` is true if the call is beyond its
    /// adapter's fair share.
    pub fn of(class: Class, over_share: bool) -> Self {
        match (class, over_share) {
            (_, true) => Self::Backfill,
            (Class::KeyAccount, false) => Self::KeyAccount,
            (Class::Routine, false) => Self::Routine,
        }
    }

    /// Returns the priority number that engines take; lower numbers go first.
    pub fn number(self) -> u8 {
        self as u8
    }
}
