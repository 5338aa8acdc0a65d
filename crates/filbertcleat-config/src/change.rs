//! Changes to the configuration.

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

/// One change to the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "op")]
pub enum Change {
    /// Adds a base model.
    AddModel {
        /// The model's name.
        model: ModelName,
    },
    /// Adds or replaces a service.
    SetService {
        /// The service's name.
        service: ServiceName,
        /// The service's configuration.
        entry: ServiceConfig,
    },
    /// Removes a service; rejected while an adapter uses it.
    RemoveService {
        /// The service's name.
        service: ServiceName,
    },
    /// Adds an adapter with its first version.
    AddAdapter {
        /// The adapter's name.
        adapter: AdapterName,
        /// The base model of the adapter.
        model: ModelName,
        /// The service whose engines run the adapter.
        service: ServiceName,
        /// The first version, which is also the default version.
        version: AdapterVersion,
    },
    /// Removes an adapter and all its versions.
    RemoveAdapter {
        /// The adapter's name.
        adapter: AdapterName,
    },
    /// Adds a version of an adapter, which requests can then select by name.
    AddVersion {
        /// The adapter's name.
        adapter: AdapterName,
        /// The new version.
        version: AdapterVersion,
    },
    /// Removes a version of an adapter; rejected for the default and the canary version.
    RemoveVersion {
        /// The adapter's name.
        adapter: AdapterName,
        /// The version to remove.
        version: AdapterVersion,
    },
    /// Sets the default and canary versions of an adapter.
    Serve {
        /// The adapter's name.
        adapter: AdapterName,
        /// The version for requests that don't select a version.
        version: AdapterVersion,
        /// A version that receives a share of those requests.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        canary: Option<Canary>,
    },
    /// Sets the weights of the optimization objectives.
    SetWeights {
        /// The new weights.
        weights: ObjectiveWeights,
    },
    /// Sets the request limits.
    SetLimits {
        /// The new limits.
        limits: Limits,
    },
    /// Sets the routing and scheduling policies.
    SetPolicy {
        /// The new policies.
        policy: Policy,
    },
}
