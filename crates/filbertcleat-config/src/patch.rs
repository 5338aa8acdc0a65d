//! Configuration patches.

use filbertcleat_base::ConfigVersion;
use filbertcleat_base::OperatorName;
use filbertcleat_base::PatchId;
use serde::Deserialize;
use serde::Serialize;

use crate::Change;
use crate::PatchError;

/// An operator's changes to one version of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// The configuration version that the patch applies to.
    pub base: ConfigVersion,
    /// The unique id of the patch, which identifies it if the answer to its write is lost.
    pub id: PatchId,
    /// The operator who submitted the patch.
    pub operator: OperatorName,
    /// The changes, which are applied in order and atomically.
    pub changes: Vec<Change>,
}

impl Patch {
    /// Parses a patch from JSON.
    pub fn parse(json: &[u8]) -> Result<Self, PatchError> {
        let mut source = serde_json::Deserializer::from_slice(json);
        let patch: Self = serde_path_to_error::deserialize(&mut source)
            .map_err(|error| PatchError::invalid(error.path().to_string(), error.inner()))?;
        source.end().map_err(|error| PatchError::invalid(".", error))?;

        Ok(patch)
    }

    /// Serializes the patch as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("all map keys of a patch are strings")
    }
}
