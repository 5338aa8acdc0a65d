//! Publication of configuration patches.
//!
//! The patch that creates version N is stored in the row `config/patch/N`. Such rows are created
//! but never changed. So of several concurrent patches, exactly one becomes the next version, and
//! a published version can't be revoked.

use filbertcleat_base::ConfigVersion;
use filbertcleat_config::Patch;
use filbertcleat_config::PatchError;

use crate::Precondition;
use crate::TableOp;
use crate::TableResult;

/// Publishes a patch as the next version, or detects that another patch was published first.
#[derive(Clone, Debug, PartialEq)]
pub struct PatchPublication {
    patch: Patch,
    version: ConfigVersion,
    is_reading: bool,
    may_be_written: bool,
}

impl PatchPublication {
    /// Creates the publication of a patch that has been validated against its base version.
    pub fn new(patch: Patch) -> Self {
        let version = patch.base.next();
        Self { patch, version, is_reading: false, may_be_written: false }
    }

    /// Returns the first table operation.
    pub fn begin(&mut self) -> TableOp {
        self.write()
    }

    /// Handles the result of the last operation and returns the next step.
    pub fn on_result(&mut self, result: &TableResult) -> PublicationStep {
        match result {
            TableResult::Written { .. } => PublicationStep::Accepted(self.version),
            TableResult::Conflict => PublicationStep::Execute(self.read()),
            TableResult::UnknownOutcome => {
                self.may_be_written |= !self.is_reading;
                PublicationStep::Retry(self.read())
            }
            TableResult::NotFound => PublicationStep::Execute(self.write()),
            TableResult::Unavailable => {
                let op = if self.is_reading { self.read() } else { self.write() };
                PublicationStep::Retry(op)
            }
            TableResult::Found { value, .. } => self.on_found(value),
        }
    }

    /// Abandons a publication that has timed out, and returns the error for the operator.
    pub fn abandon(&self, reason: &str) -> PatchError {
        if self.may_be_written {
            PatchError::UnknownOutcome { id: self.patch.id.as_str().to_owned() }
        } else {
            PatchError::Unavailable { reason: reason.to_owned() }
        }
    }

    fn on_found(&self, value: &[u8]) -> PublicationStep {
        match Patch::parse(value) {
            Ok(patch) if patch.id == self.patch.id => PublicationStep::Accepted(self.version),
            Ok(_) | Err(_) => PublicationStep::Rejected(PatchError::Stale {
                base: self.patch.base,
                head: self.version,
            }),
        }
    }

    fn write(&mut self) -> TableOp {
        self.is_reading = false;
        let value = self.patch.to_json();
        TableOp::Write { key: patch_key(self.version), precondition: Precondition::Absent, value }
    }

    fn read(&mut self) -> TableOp {
        self.is_reading = true;
        TableOp::Read { key: patch_key(self.version) }
    }
}

/// The next step of a publication.
#[derive(Clone, Debug, PartialEq)]
pub enum PublicationStep {
    /// Execute the operation immediately.
    Execute(TableOp),
    /// Execute the operation after a pause.
    Retry(TableOp),
    /// The patch was published as this version.
    Accepted(ConfigVersion),
    /// The patch was rejected, and the configuration is unchanged.
    Rejected(PatchError),
}

/// Returns the key of the row with the patch that creates `version`.
pub fn patch_key(version: ConfigVersion) -> String {
    format!("config/patch/{version}")
}
