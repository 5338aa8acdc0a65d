//! The serialized form of a service.

use filbertcleat_base::ModelName;
use serde::Deserialize;
use serde::Serialize;

use super::ServiceConfig;
use super::ServiceKind;

/// The serialized form of a service: `kind`, `model` for engines, and `non_repeatable`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawEntry {
    kind: RawKind,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    model: Option<ModelName>,
    #[serde(default, rename = "non_repeatable")]
    non_retryable: Vec<String>,
}

/// The serialized form of the service kind.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
enum RawKind {
    Engine,
    Plain,
}

impl TryFrom<RawEntry> for ServiceConfig {
    type Error = &'static str;

    fn try_from(raw: RawEntry) -> Result<Self, Self::Error> {
        let kind = match (raw.kind, raw.model) {
            (RawKind::Engine, Some(model)) => ServiceKind::Engine(model),
            (RawKind::Engine, None) => return Err("a service of kind engine requires a model"),
            (RawKind::Plain, None) => ServiceKind::Plain,
            (RawKind::Plain, Some(_)) => return Err("a service of kind plain has no model"),
        };
        Ok(Self { kind, non_retryable: raw.non_retryable })
    }
}

impl From<ServiceConfig> for RawEntry {
    fn from(config: ServiceConfig) -> Self {
        let (kind, model) = match config.kind {
            ServiceKind::Engine(model) => (RawKind::Engine, Some(model)),
            ServiceKind::Plain => (RawKind::Plain, None),
        };
        Self { kind, model, non_retryable: config.non_retryable }
    }
}
