//! Inputs of an agent.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::AttemptId;
use filbertcleat_base::ConfigVersion;
use filbertcleat_base::Fault;
use filbertcleat_config::ObjectiveWeights;
use filbertcleat_config::Policy;
use filbertcleat_store::Ownership;

use super::AttemptRequest;
use super::EngineState;
use crate::AttemptEventKind;

/// An event that an agent has to handle.
#[derive(Clone, Debug)]
pub enum AgentInput {
    /// An entry submitted an attempt.
    Submit(AttemptRequest),
    /// The entry cancelled an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The backend server sent a chunk of an answer.
    Chunk {
        /// The attempt.
        attempt: AttemptId,
        /// The text of the chunk.
        text: String,
    },
    /// The stream of a call broke off; the backend server may still run the call.
    StreamBroken {
        /// The attempt.
        attempt: AttemptId,
        /// The fault that broke the stream.
        fault: Fault,
        /// Whether the stream can be resumed.
        resumable: bool,
    },
    /// A call has ended and the backend server no longer runs it.
    CallEnded {
        /// The attempt.
        attempt: AttemptId,
        /// The final event of the call.
        kind: AttemptEventKind,
    },
    /// The engine has loaded an adapter.
    Loaded {
        /// The adapter.
        adapter: AdapterRef,
    },
    /// A load failed.
    LoadFailed {
        /// The adapter.
        adapter: AdapterRef,
        /// Whether the adapter is known not to occupy a slot.
        known_absent: bool,
    },
    /// The load coordinator granted a load permit.
    LoadGranted {
        /// Identifies the permit.
        grant_id: u64,
        /// The adapter that the permit was requested for.
        adapter: AdapterRef,
        /// How long the permit is valid.
        hold_ms: u64,
    },
    /// No load coordinator can be reached.
    CoordinatorLost,
    /// The engine listed its adapters.
    EngineListed(EngineState),
    /// The lease on the backend server changed.
    Ownership(Ownership),
    /// A configuration version came into force.
    Config {
        /// The version.
        version: ConfigVersion,
        /// The policies of the version.
        policy: Policy,
        /// The weights of the version.
        weights: ObjectiveWeights,
    },
    /// The agent is to finish its running calls and stop.
    Drain,
    /// Time has passed.
    Tick,
}
