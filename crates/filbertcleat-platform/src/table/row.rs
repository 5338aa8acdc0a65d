//! Rows of the table service.

use serde::Deserialize;
use serde::Serialize;

/// A row of the table service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableRow {
    /// The row's key.
    pub key: String,
    /// The row's revision, which increases with each write.
    pub revision: u64,
    /// The row's value.
    pub value: String,
}
