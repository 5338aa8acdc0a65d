//! Actions of an agent.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::AttemptId;
use filbertcleat_base::ConfigVersion;
use filbertcleat_base::FencingToken;

use super::Priority;
use crate::AttemptEvent;
use crate::LoadRequest;

/// An action that the caller of `Agent::handle` has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Send the call of an attempt to the backend server.
    Call {
        /// The attempt.
        attempt: AttemptId,
        /// The priority of the call in the engine.
        priority: Priority,
        /// The fencing token of the current or lapsed lease, if any.
        fence: Option<FencingToken>,
    },
    /// Cancel a call at the backend server.
    CancelCall {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Load an adapter into a slot, after unloading the adapter to evict.
    Load {
        /// The adapter to load.
        adapter: AdapterRef,
        /// The idle adapter to unload first.
        evict: Option<AdapterRef>,
        /// The fencing token of the current or lapsed lease, if any.
        fence: Option<FencingToken>,
    },
    /// List the adapters in the engine's slots.
    ListAdapters,
    /// Send the current load requests to the load coordinator.
    RequestLoads {
        /// All load requests, the most urgent first; they replace the previous ones.
        requests: Vec<LoadRequest>,
    },
    /// Return a load permit to the load coordinator.
    ReleasePermit {
        /// Identifies the permit.
        grant_id: u64,
    },
    /// Send an event to the entry that made the attempt.
    SendEvent(AttemptEvent),
    /// Fetch a newer configuration.
    FetchConfig {
        /// The version that is required at least.
        version: ConfigVersion,
    },
    /// Record that the engine restarted and lost its adapters.
    EngineRestarted {
        /// The new epoch of the engine.
        epoch: u64,
    },
    /// All accepted calls have ended and the process may exit.
    Drained,
}
