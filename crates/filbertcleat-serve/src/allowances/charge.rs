//! What the ledger of an entry decides about a request.

use std::net::IpAddr;

use filbertcleat_base::MonoTime;

use super::BucketId;

/// What the ledger of an entry decides about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum AllowanceDecision {
    /// The request may run.
    Granted(AllowanceCharge),
    /// The request must not run.
    Refused(AllowanceRefusal),
    /// Agents have been asked; the decision is delivered later with this ticket.
    Pending(AllowanceTicket),
}

/// A request that waits for a decision.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AllowanceTicket(pub(super) u64);

/// Why a request must not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AllowanceRefusal {
    /// The workspace has used its allowance up.
    Exceeded {
        /// The time after which the caller may come back.
        retry_after_ms: u64,
        /// The tokens in hand, which are less than the request costs.
        in_hand: u64,
        /// The agent whose bucket has tokens next.
        holder: IpAddr,
    },
    /// Too few agents respond to tell.
    Unreachable,
}

/// The tokens that a request has been charged.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AllowanceCharge {
    /// The hash of the workspace's name.
    pub(super) workspace: u64,
    /// The tokens by the grants that they came from.
    pub(super) parts: Vec<Holding>,
}

impl AllowanceCharge {
    /// Returns the tokens.
    pub fn cost(&self) -> u64 {
        self.parts.iter().map(|part| part.amount).sum()
    }
}

/// Tokens of one grant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Holding {
    pub bucket: BucketId,
    pub holder: IpAddr,
    /// The id of the agent's incarnation that granted them.
    pub agent: u32,
    /// The number of the request for which they were granted.
    pub sequence: u32,
    pub requested_at: MonoTime,
    pub amount: u64,
}
