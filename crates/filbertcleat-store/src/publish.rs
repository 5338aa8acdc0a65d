//! The configuration's chain of patches.
//!
//! Version N is the row `config/patch/N`, which is only ever created. So the creation of one row
//! decides between racing operators, and nothing can take a version back.

use filbertcleat_base::ConfigVersion;
use filbertcleat_config::Patch;
use filbertcleat_config::PatchError;

use crate::Precondition;
use crate::TableOp;
use crate::TableResult;

/// Makes a patch the next version, or finds out that another one is.
#[derive(Clone, Debug, PartialEq)]
pub struct PatchPublication {
    patch: Patch,
    version: ConfigVersion,
    reading: bool,
    may_be_written: bool,
}

impl PatchPublication {
    /// Creates the publication of a patch that has been checked against its base.
    pub fn new(patch: Patch) -> Self {
        let version = patch.base.next();
        Self { patch, version, reading: false, may_be_written: false }
    }

    /// Returns the first operation.
    pub fn begin(&mut self) -> TableOp {
        self.write()
    }

    /// Takes in a result and returns what follows.
    pub fn on_result(&mut self, result: &TableResult) -> PublicationStep {
        match result {
            TableResult::Written { .. } => PublicationStep::Accepted(self.version),
            TableResult::Conflict => PublicationStep::Execute(self.read()),
            TableResult::UnknownOutcome => {
                self.may_be_written |= !self.reading;
                PublicationStep::Retry(self.read())
            }
            TableResult::NotFound => PublicationStep::Execute(self.write()),
            TableResult::Unavailable => {
                let op = if self.reading { self.read() } else { self.write() };
                PublicationStep::Retry(op)
            }
            TableResult::Found { value, .. } => self.found(value),
        }
    }

    /// Ends a publication that has taken too long.
    pub fn abandon(&self, reason: &str) -> PatchError {
        if self.may_be_written {
            PatchError::UnknownOutcome { id: self.patch.id.as_str().to_owned() }
        } else {
            PatchError::Unavailable { reason: reason.to_owned() }
        }
    }

    fn found(&self, value: &[u8]) -> PublicationStep {
        match Patch::parse(value) {
            Ok(patch) if patch.id == self.patch.id => PublicationStep::Accepted(self.version),
            Ok(_) | Err(_) => PublicationStep::Rejected(PatchError::Stale {
                base: self.patch.base,
                head: self.version,
            }),
        }
    }

    fn write(&mut self) -> TableOp {
        self.reading = false;
        let value = self.patch.to_json();
        TableOp::Write { key: patch_key(self.version), precondition: Precondition::Absent, value }
    }

    fn read(&mut self) -> TableOp {
        self.reading = true;
        TableOp::Read { key: patch_key(self.version) }
    }
}

/// What follows in a publication.
#[derive(Clone, Debug, PartialEq)]
pub enum PublicationStep {
    /// Ask the table service at once.
    Execute(TableOp),
    /// Ask the table service after a pause.
    Retry(TableOp),
    /// The patch is this version.
    Accepted(ConfigVersion),
    /// The patch is refused, and the configuration is as it was.
    Rejected(PatchError),
}

/// Returns the key of the row that holds the patch to a version.
pub fn patch_key(version: ConfigVersion) -> String {
    format!("config/patch/{version}")
}
