//! Adapters in the configuration.

use std::collections::BTreeSet;

use filbertcleat_base::AdapterVersion;
use filbertcleat_base::ModelName;
use filbertcleat_base::RequestId;
use filbertcleat_base::ServiceName;
use serde::Deserialize;
use serde::Serialize;

/// An adapter with its versions and its serving rule.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterConfig {
    /// The base model that it belongs to.
    pub model: ModelName,
    /// The service whose engines run it.
    pub service: ServiceName,
    /// The versions that a request may name.
    pub versions: BTreeSet<AdapterVersion>,
    /// The version for requests that name none.
    pub serving: AdapterVersion,
    /// A second version that gets a share of those requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub canary: Option<Canary>,
}

impl AdapterConfig {
    /// Returns the version that the serving rule gives `request`.
    ///
    /// The same request gets the same version in every process.
    pub fn version_for(&self, request: &RequestId) -> AdapterVersion {
        match &self.canary {
            Some(canary) if canary.takes(request) => canary.version,
            Some(_) | None => self.serving,
        }
    }
}

/// A version that is tried on a share of the requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Canary {
    /// The version tried.
    pub version: AdapterVersion,
    /// Its share of the requests.
    pub share_percent: u8,
}

impl Canary {
    fn takes(&self, request: &RequestId) -> bool {
        filbertcleat_base::stable_hash(request.as_str()) % 100 < u64::from(self.share_percent)
    }
}
