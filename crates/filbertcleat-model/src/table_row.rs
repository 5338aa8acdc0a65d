//! A row of the table service.

use filbertcleat_store::Precondition;
use filbertcleat_store::TableOp;
use filbertcleat_store::TableResult;

/// A row of the table service with its revision.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct TableRow {
    revision: u64,
    value: Option<Vec<u8>>,
}

impl TableRow {
    /// Returns the value of the row, or `None` if the row is absent.
    pub fn value(&self) -> Option<&[u8]> {
        self.value.as_deref()
    }

    /// Applies an operation; unless `conditional` is set, writes ignore the expected revision.
    pub fn apply(&mut self, op: &TableOp, conditional: bool) -> TableResult {
        match op {
            TableOp::Read { .. } => match &self.value {
                Some(value) => TableResult::Found { revision: self.revision, value: value.clone() },
                None => TableResult::NotFound,
            },
            TableOp::Write { precondition, value, .. } => {
                let condition_holds = match precondition {
                    Precondition::Absent => self.value.is_none(),
                    Precondition::Revision(revision) => {
                        self.value.is_some() && *revision == self.revision
                    }
                };
                if conditional && !condition_holds {
                    return TableResult::Conflict;
                }
                self.revision += 1;
                self.value = Some(value.clone());
                TableResult::Written { revision: self.revision }
            }
            TableOp::Remove { revision, .. } => match &self.value {
                None => TableResult::NotFound,
                Some(_) if conditional && *revision != self.revision => TableResult::Conflict,
                Some(_) => {
                    self.revision += 1;
                    self.value = None;
                    TableResult::Written { revision: self.revision }
                }
            },
        }
    }
}
