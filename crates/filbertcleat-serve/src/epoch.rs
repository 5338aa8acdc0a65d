//! The epoch of the catalogue.

mod change;

use std::fmt;

pub use self::change::EpochChange;

/// The newest epoch of the catalogue that a response has named.
///
/// The catalogue begins an epoch when it is restored from a copy. It then assigns versions again
/// that it had assigned before the restore, so that a cursor is valid within one epoch only.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CatalogueEpoch {
    /// No response has arrived.
    #[default]
    Unknown,
    /// Responses have arrived, and none named an epoch.
    Unnumbered,
    /// The newest epoch that a response has named.
    Numbered(u64),
}

impl CatalogueEpoch {
    /// Records the epoch that a response names, and returns what the response shows.
    pub fn observe(&mut self, named: Option<u64>) -> EpochChange {
        match (*self, named) {
            (Self::Unknown, None) => {
                *self = Self::Unnumbered;
                EpochChange::Unchanged
            }
            (Self::Unknown, Some(epoch)) => {
                *self = Self::Numbered(epoch);
                EpochChange::Unchanged
            }
            // Nothing tells a catalogue that begins to number its epochs from a restored one.
            (Self::Unnumbered, Some(epoch)) => {
                *self = Self::Numbered(epoch);
                EpochChange::Restored
            }
            (Self::Numbered(known), Some(epoch)) if epoch > known => {
                *self = Self::Numbered(epoch);
                EpochChange::Restored
            }
            (Self::Numbered(known), Some(epoch)) if epoch < known => EpochChange::Outdated,
            (Self::Unnumbered | Self::Numbered(_), _) => EpochChange::Unchanged,
        }
    }
}

impl fmt::Display for CatalogueEpoch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown | Self::Unnumbered => formatter.write_str("-"),
            Self::Numbered(epoch) => write!(formatter, "{epoch}"),
        }
    }
}
