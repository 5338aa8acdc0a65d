//! One row of the table service.

use filbertcleat_store::Precondition;
use filbertcleat_store::TableOp;
use filbertcleat_store::TableResult;

/// One row of the table service.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Cell {
    revision: u64,
    value: Option<Vec<u8>>,
}

impl Cell {
    /// Returns the row's value.
    pub fn value(&self) -> Option<&[u8]> {
        self.value.as_deref()
    }

    /// Carries out an operation; without conditions every write takes effect.
    pub fn run(&mut self, op: &TableOp, conditional: bool) -> TableResult {
        match op {
            TableOp::Read { .. } => match &self.value {
                Some(value) => TableResult::Found { revision: self.revision, value: value.clone() },
                None => TableResult::NotFound,
            },
            TableOp::Write { precondition, value, .. } => {
                let fits = match precondition {
                    Precondition::Absent => self.value.is_none(),
                    Precondition::Revision(revision) => {
                        self.value.is_some() && *revision == self.revision
                    }
                };
                if conditional && !fits {
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
