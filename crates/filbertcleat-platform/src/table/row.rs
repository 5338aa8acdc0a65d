//! Rows of the table service.

use serde::Deserialize;
use serde::Serialize;

/// A row of the table service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableRow {
    /// Its key.
    pub key: String,
    /// Its revision.
    pub revision: u64,
    /// Its value.
    pub value: String,
}
