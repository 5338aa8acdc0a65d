//! Adapter configuration.

use std::collections::BTreeSet;

use filbertcleat_base::AdapterVersion;
use filbertcleat_base::ModelName;
use filbertcleat_base::RequestId;
use filbertcleat_base::ServiceName;
use serde::Deserialize;
use serde::Serialize;

/// The configuration of an adapter: its versions and which of them serves a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterConfig {
    /// The base model of the adapter.
    pub model: ModelName,
    /// The service whose engines run the adapter.
    pub service: ServiceName,
    /// The versions that requests can select.
    pub versions: BTreeSet<AdapterVersion>,
    /// The default version, for requests that don't select a version.
    pub serving: AdapterVersion,
    /// A version that receives a share of those requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub canary: Option<Canary>,
}

impl AdapterConfig {
    /// Returns the version for a request that doesn't select one: the default or the canary.
    ///
    /// The result depends only on the request's id, so it is the same in every process.
    pub fn version_for(&self, request: &RequestId) -> AdapterVersion {
        match &self.canary {
            Some(canary) if canary.includes(request) => canary.version,
            Some(_) | None => self.serving,
        }
    }
}

/// A version that is rolled out to a share of the requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Canary {
    /// The version to roll out.
    pub version: AdapterVersion,
    /// The percentage of requests that the version receives, from 0 to 100.
    pub share_percent: u8,
}

impl Canary {
    fn includes(&self, request: &RequestId) -> bool {
        filbertcleat_base::stable_hash(request.as_str()) % 100 < u64::from(self.share_percent)
    }
}
