//! The row of the catalogue that keeps marks.

use crate::CrashMark;

/// The row of the catalogue that keeps marks.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeptRow {
    /// The version that a write has to name; 0 if there is no row.
    pub version: u64,
    /// The marks.
    pub marks: Vec<CrashMark>,
}
