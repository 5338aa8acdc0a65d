//! The changes that a patch can make.

use filbertcleat_base::AdapterName;
use filbertcleat_base::AdapterVersion;
use filbertcleat_base::ModelName;
use filbertcleat_base::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use crate::Canary;
use crate::Limits;
use crate::ObjectiveWeights;
use crate::Policy;
use crate::ServiceConfig;

/// One change of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "op")]
pub enum Change {
    /// Adds a base model.
    AddModel {
        /// The new model.
        model: ModelName,
    },
    /// Adds or replaces a service.
    SetService {
        /// The service's name.
        service: ServiceName,
        /// What it is.
        entry: ServiceConfig,
    },
    /// Removes a service that no adapter uses.
    RemoveService {
        /// The service's name.
        service: ServiceName,
    },
    /// Adds an adapter with its first version.
    AddAdapter {
        /// The adapter's name.
        adapter: AdapterName,
        /// The base model that it belongs to.
        model: ModelName,
        /// The service whose engines run it.
        service: ServiceName,
        /// The version that it starts with and serves.
        version: AdapterVersion,
    },
    /// Removes an adapter with all its versions.
    RemoveAdapter {
        /// The adapter's name.
        adapter: AdapterName,
    },
    /// Adds a version of an adapter, which requests can then name.
    AddVersion {
        /// The adapter's name.
        adapter: AdapterName,
        /// The new version.
        version: AdapterVersion,
    },
    /// Removes a version that no serving rule names.
    RemoveVersion {
        /// The adapter's name.
        adapter: AdapterName,
        /// The version to remove.
        version: AdapterVersion,
    },
    /// Sets the serving rule of an adapter.
    Serve {
        /// The adapter's name.
        adapter: AdapterName,
        /// The version for requests that name none.
        version: AdapterVersion,
        /// A second version that gets a share of those requests.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        canary: Option<Canary>,
    },
    /// Sets the weights of the measures.
    SetWeights {
        /// The new weights.
        weights: ObjectiveWeights,
    },
    /// Sets the limits.
    SetLimits {
        /// The new limits.
        limits: Limits,
    },
    /// Sets the policies.
    SetPolicy {
        /// The new policies.
        policy: Policy,
    },
}
