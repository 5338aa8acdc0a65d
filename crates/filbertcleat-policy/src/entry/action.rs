//! What an entry does.

use filbertcleat_base::AttemptId;
use filbertcleat_base::ConfigVersion;
use filbertcleat_base::Executed;
use filbertcleat_base::NodeName;
use filbertcleat_base::RequestId;

use super::OutboundAttempt;
use crate::Refusal;
use crate::RefuseReason;

/// Something that an entry wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAction {
    /// Claim a non-idempotent request in the table service.
    Claim {
        /// The request.
        request: RequestId,
    },
    /// Keep what is known of a claimed request that got no answer.
    SettleClaim {
        /// The request.
        request: RequestId,
        /// Whether it was run; the claim of one that was not is released.
        run: Executed,
    },
    /// Keep the answer of a claimed request.
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
    /// Answer a repeated call with the kept answer.
    ReplayAnswer {
        /// The request.
        request: RequestId,
    },
    /// Send an attempt to an agent.
    Send(OutboundAttempt),
    /// Cancel an attempt.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Note that a call has begun.
    CallStarted {
        /// The request.
        request: RequestId,
        /// The agent.
        node: NodeName,
        /// How long it waited for its adapter's load.
        load_stall_ms: u64,
        /// How long it waited in all.
        queue_wait_ms: u64,
    },
    /// Note that an agent refused an attempt.
    AttemptRefused {
        /// The agent.
        node: NodeName,
        /// Why.
        reason: RefuseReason,
        /// The agent's configuration version.
        config_version: ConfigVersion,
    },
    /// Pass a piece of the answer to the caller.
    DeliverChunk {
        /// The request.
        request: RequestId,
        /// The text.
        text: String,
    },
    /// End the caller's answer, which is whole.
    FinishAnswer {
        /// The request.
        request: RequestId,
        /// Why the engine stopped.
        finish_reason: String,
        /// The number of tokens.
        tokens: u64,
    },
    /// Pass a plain service's answer to the caller.
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
    /// Tell the caller that there is no whole answer.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why, and whether it was run.
        refusal: Refusal,
    },
}
