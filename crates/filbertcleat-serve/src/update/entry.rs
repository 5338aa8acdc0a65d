//! An entry's update to the agent of one engine.

use crate::AdapterKey;
use crate::EngineSpec;
use crate::ModelDemand;
use crate::ServerId;

/// An entry's update to the agent of one engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntryUpdate {
    /// The id of the entry's incarnation.
    pub entry: u64,
    /// A number that increases with each update of an entry incarnation.
    pub sequence: u64,
    /// The engine incarnation that the catalogue lists on the agent's VM; empty if there is none.
    pub server: ServerId,
    /// The adapters that queued requests of this entry wait for.
    pub adapter_demand: Vec<AdapterDemand>,
    /// The adapters of this entry's requests at the engine, with the number of requests on each.
    pub adapters_in_use: Vec<(AdapterKey, u32)>,
    /// The total of prompt tokens that this entry has ever sent to the engine.
    pub sent_prompt_tokens: u64,
    /// The capacity of the service's engines, if the entry knows it.
    pub engine_spec: Option<EngineSpec>,
    /// The digest of the entry's facts, which the agent compares with that of its own.
    pub facts_digest: Option<u64>,
    /// The demand for base models as this entry sees it.
    pub model_demand: Vec<ModelDemand>,
}

/// The demand of queued requests for an adapter.
#[derive(Clone, Debug, PartialEq)]
pub struct AdapterDemand {
    /// The adapter.
    pub key: AdapterKey,
    /// The lowest version that may serve the requests.
    pub min_version: u64,
    /// The priority of the most urgent request; 0 is the most urgent.
    pub priority: u8,
    /// The number of requests that wait.
    pub waiting_requests: u32,
}
