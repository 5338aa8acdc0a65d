//! The properties of a request that affect its placement.

use std::rc::Rc;

use filbertcleat_base::ModelName;
use filbertcleat_base::ServiceName;
use filbertcleat_base::WorkspaceName;
use filbertcleat_base::mix_hashes;
use filbertcleat_base::stable_hash;

use crate::AdapterKey;
use crate::CrashSuspect;
use crate::PromptPrefix;
use crate::ServerId;
use crate::SoftwareVersion;

/// The properties of a request that affect its placement.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestDemand {
    /// The name of the route.
    pub route: Rc<str>,
    /// The service that the request is routed to.
    pub service: ServiceName,
    /// The base model, if the request names one.
    pub model: Option<ModelName>,
    /// The adapter, if the request names one.
    pub adapter: Option<AdapterKey>,
    /// The lowest version of the adapter that may serve the request.
    pub min_version: u64,
    /// The only software version that may serve the request, if it continues a stream.
    pub software_version: Option<SoftwareVersion>,
    /// The servers that have left off the stream. They get the rest of it only if no other server has
    /// room, because they may leave off again.
    pub last_choices: Vec<ServerId>,
    /// What other requests may hold too and may crash servers: the content of the request and the
    /// parts of the prompt.
    pub crash_suspects: Rc<[CrashSuspect]>,
    /// The beginnings of the prompt that other requests may share, the shortest first.
    pub prefixes: Rc<[PromptPrefix]>,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// The largest number of tokens in the response.
    pub output_tokens_max: u64,
    /// The latency objective for the first event or for the response.
    pub latency_objective_ms: u64,
    /// The objective for the longest gap between two events; 0 if the response is not streamed.
    pub gap_objective_ms: u64,
    /// The priority of the workspace and, within it, of the route; 0 is the most urgent.
    pub priority: u8,
    /// The workspace, if the deployment has any.
    pub workspace: Option<WorkspaceName>,
}

impl RequestDemand {
    /// Returns whether a backend server with this software version may serve the request.
    pub fn allows_software(&self, version: &SoftwareVersion) -> bool {
        self.software_version.as_ref().is_none_or(|allowed| allowed == version)
    }

    /// Returns whether a backend server should get the request only if no other one has room.
    pub(crate) fn is_last_choice(&self, server: &ServerId) -> bool {
        self.last_choices.contains(server)
    }

    /// Returns whether the request has no prompt to be read, and its response comes as a whole.
    pub fn is_plain(&self) -> bool {
        self.prompt_tokens == 0 && self.gap_objective_ms == 0
    }

    /// Returns the hash of the route and the service, whose requests are alike.
    pub(crate) fn route_hash(&self) -> u64 {
        mix_hashes(stable_hash(&self.route), stable_hash(self.service.as_str()))
    }

    /// Returns the hash of the route and the adapter, whose outputs are alike.
    pub(crate) fn adapter_hash(&self) -> Option<u64> {
        let key = self.adapter.as_ref()?;
        let names = mix_hashes(stable_hash(key.model.as_str()), stable_hash(key.adapter.as_str()));
        Some(mix_hashes(self.route_hash(), names))
    }

    /// Returns the KV cache memory that the request may need, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.output_tokens_max)
    }
}
