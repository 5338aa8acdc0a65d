//! The priority of a call in an engine.

use filbertcleat_base::Class;

/// The priority of a call in an engine; when places are short, lower ones are paused.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// Key-account work.
    KeyAccount,
    /// Routine work.
    Routine,
    /// Work of an adapter that asks for more than its share, which only fills gaps.
    Backfill,
}

impl Priority {
    /// Returns the priority of a call.
    pub fn of(class: Class, over_share: bool) -> Self {
        match (class, over_share) {
            (_, true) => Self::Backfill,
            (Class::KeyAccount, false) => Self::KeyAccount,
            (Class::Routine, false) => Self::Routine,
        }
    }

    /// Returns the number that engines take; lower goes first.
    pub fn number(self) -> u8 {
        self as u8
    }
}
