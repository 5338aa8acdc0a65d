//! Patches against a numbered configuration.

use filbertcleat_base::ConfigVersion;
use filbertcleat_base::OperatorName;
use filbertcleat_base::PatchId;
use serde::Deserialize;
use serde::Serialize;

use crate::Change;
use crate::PatchError;

/// An operator's changes against one version of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// The version that the changes are meant for.
    pub base: ConfigVersion,
    /// Tells this patch from all others, so that a lost answer can be settled.
    pub id: PatchId,
    /// Who submitted it.
    pub operator: OperatorName,
    /// The changes, made in order and all together.
    pub changes: Vec<Change>,
}

impl Patch {
    /// Reads a patch from JSON.
    pub fn parse(json: &[u8]) -> Result<Self, PatchError> {
        let mut source = serde_json::Deserializer::from_slice(json);
        let patch: Self = serde_path_to_error::deserialize(&mut source)
            .map_err(|error| PatchError::invalid(error.path().to_string(), error.inner()))?;
        source.end().map_err(|error| PatchError::invalid(".", error))?;

        Ok(patch)
    }

    /// Writes the patch as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a patch has only string keys")
    }
}
