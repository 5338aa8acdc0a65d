//! The priority of a call in an engine.

use filbertcleat_base::Class;

/// The priority of a call in an engine; when places are short, lower ones are paused.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// Key-account work.
    Key,
    /// Routine work.
    Routine,
    /// Work of an adapter that asks for more than its share, which only fills gaps.
    Filling,
}

impl Priority {
    /// Returns the priority of a call.
    pub fn of(class: Class, over_share: bool) -> Self {
        match (class, over_share) {
            (_, true) => Self::Filling,
            (Class::KeyAccount, false) => Self::Key,
            (Class::Routine, false) => Self::Routine,
        }
    }

    /// Returns the number that engines take; lower goes first.
    pub fn number(self) -> u8 {
        self as u8
    }
}
