//! Actions of an entry.

use filbertcleat_base::AttemptId;
use filbertcleat_base::ConfigVersion;
use filbertcleat_base::Executed;
use filbertcleat_base::NodeName;
use filbertcleat_base::RequestId;

use super::OutboundAttempt;
use crate::Refusal;
use crate::RefuseReason;

/// An action that the caller of `Entry::handle` has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAction {
    /// Claim the idempotency key of a request in the table service.
    Claim {
        /// The request.
        request: RequestId,
    },
    /// Record the outcome of a claimed request that got no answer.
    CompleteClaim {
        /// The request.
        request: RequestId,
        /// Whether the request was executed; if not, its claim is released.
        executed: Executed,
    },
    /// Store the answer of a claimed request.
    RecordAnswer {
        /// The request.
        request: RequestId,
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: String,
        /// The body, or the text of a completion.
        body: Vec<u8>,
    },
    /// Answer a repeated request with the stored answer.
    ReplayAnswer {
        /// The request.
        request: RequestId,
    },
    /// Send an attempt to an agent.
    Send(OutboundAttempt),
    /// Cancel an attempt at its agent.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Record that the call of an attempt started.
    CallStarted {
        /// The request.
        request: RequestId,
        /// The agent.
        node: NodeName,
        /// How long the request waited for the load of its adapter.
        load_stall_ms: u64,
        /// How long the request waited in total at the agent.
        queue_wait_ms: u64,
    },
    /// Record that an agent refused an attempt.
    AttemptRefused {
        /// The agent.
        node: NodeName,
        /// The reason of the refusal.
        reason: RefuseReason,
        /// The agent's configuration version.
        config_version: ConfigVersion,
    },
    /// Send the next chunk of the answer to the caller.
    DeliverChunk {
        /// The request.
        request: RequestId,
        /// The text of the chunk.
        text: String,
    },
    /// End the complete streamed answer to the caller.
    FinishAnswer {
        /// The request.
        request: RequestId,
        /// Why the engine stopped generating.
        finish_reason: String,
        /// The number of tokens in the answer.
        tokens: u64,
    },
    /// Send the answer of a plain service to the caller.
    DeliverAnswer {
        /// The request.
        request: RequestId,
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: String,
        /// The body.
        body: Vec<u8>,
    },
    /// Send a refusal to the caller, in place of the answer or of its missing rest.
    Refuse {
        /// The request.
        request: RequestId,
        /// The refusal.
        refusal: Refusal,
    },
}
