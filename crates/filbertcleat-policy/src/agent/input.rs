//! What an agent is told.

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

/// Something that an agent is told.
#[derive(Clone, Debug)]
pub enum AgentInput {
    /// An entry offers an attempt.
    Submit(AttemptRequest),
    /// The entry no longer wants an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The backend server sent a piece of an answer.
    Chunk {
        /// The attempt.
        attempt: AttemptId,
        /// The text.
        text: String,
    },
    /// The stream of a call broke off, and the backend server may still hold the call.
    StreamBroken {
        /// The attempt.
        attempt: AttemptId,
        /// What went wrong.
        fault: Fault,
        /// Whether the stream can be resumed.
        resumable: bool,
    },
    /// A call has ended and the backend server has let go of it.
    CallEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        kind: AttemptEventKind,
    },
    /// The engine has loaded an adapter.
    Loaded {
        /// The adapter.
        adapter: AdapterRef,
    },
    /// A load has failed.
    LoadFailed {
        /// The adapter.
        adapter: AdapterRef,
        /// Whether it is certain that the adapter is not in a slot.
        known_absent: bool,
    },
    /// The keeper gives the turn at the weight store.
    LoadGranted {
        /// Tells this turn from others.
        grant_id: u64,
        /// The adapter that it was asked for.
        adapter: AdapterRef,
        /// How long it lasts.
        hold_ms: u64,
    },
    /// No keeper can be reached.
    CoordinatorLost,
    /// The engine's slots were listed.
    EngineListed(EngineState),
    /// The lease on the backend server has changed.
    Ownership(Ownership),
    /// A configuration version is in force.
    Config {
        /// The version.
        version: ConfigVersion,
        /// Its policies.
        policy: Policy,
        /// Its weights.
        weights: ObjectiveWeights,
    },
    /// The agent is to stop.
    Drain,
    /// Time has passed.
    Tick,
}
