//! What an agent does.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::AttemptId;
use filbertcleat_base::ConfigVersion;
use filbertcleat_base::Fence;

use super::Priority;
use crate::AttemptEvent;
use crate::LoadRequest;

/// Something that an agent wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Hand an attempt to the backend server.
    Call {
        /// The attempt.
        attempt: AttemptId,
        /// Its priority in the engine.
        priority: Priority,
        /// The fencing number, if one is held.
        fence: Option<Fence>,
    },
    /// Cancel a call at the backend server.
    CancelCall {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Order a load, after taking another adapter out.
    Load {
        /// The adapter to load.
        adapter: AdapterRef,
        /// The idle adapter to take out first.
        evict: Option<AdapterRef>,
        /// The fencing number, if one is held.
        fence: Option<Fence>,
    },
    /// List the engine's slots.
    ListAdapters,
    /// Tell the keeper which loads are wanted.
    RequestLoads {
        /// All of them, the most urgent first.
        requests: Vec<LoadRequest>,
    },
    /// Give the turn back to the keeper.
    ReleasePermit {
        /// The turn.
        grant_id: u64,
    },
    /// Send an event to the entry that made the attempt.
    SendEvent(AttemptEvent),
    /// Fetch a newer configuration.
    FetchConfig {
        /// The version that is needed at least.
        version: ConfigVersion,
    },
    /// Note that the engine restarted cold.
    EngineRestarted {
        /// Its new epoch.
        epoch: u64,
    },
    /// All accepted work has ended and the process may exit.
    Drained,
}
