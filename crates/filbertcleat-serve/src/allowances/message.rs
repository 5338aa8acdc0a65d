//! The messages between entries and agents about allowances.

use std::net::IpAddr;

use super::BucketId;

/// A message about the allowance of a workspace.
#[derive(Clone, Debug, PartialEq)]
pub enum AllowanceMessage {
    /// An entry asks for tokens.
    Request(AllowanceRequest),
    /// An agent responds to a request.
    Grant(AllowanceGrant),
    /// An entry returns tokens.
    Return(AllowanceReturn),
    /// An entry tells an agent that another one holds a bucket now.
    Move(AllowanceMove),
}

/// An entry's request for tokens of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceRequest {
    /// The hash of the workspace's name.
    pub workspace: u64,
    /// The bucket.
    pub bucket: BucketId,
    /// The id of the entry's incarnation.
    pub entry: u32,
    /// The number of the request, unique within the entry's incarnation. A request that is sent again
    /// keeps its number and is granted once.
    pub sequence: u32,
    /// The cost of all requests that wait for the tokens.
    pub needed: u64,
    /// The cost of the first of them.
    pub first_cost: u64,
    /// The expected cost of the requests that follow.
    pub expected: u64,
    /// Whether the entry refuses the requests for which this bucket has no tokens.
    pub is_last: bool,
    /// The rate of the workspace, over all its buckets.
    pub rate_per_s: f64,
    /// The burst of the workspace, over all its buckets.
    pub burst: f64,
    /// The version of the configuration that has this rate and burst.
    pub config_version: u64,
    /// The time for which the entry has known the agent as the holder of the bucket.
    pub known_ms: u64,
    /// The version of the list of backend servers from which the entry chose the agent.
    pub list_version: u64,
}

/// An agent's response to an `AllowanceRequest`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceGrant {
    /// The hash of the workspace's name.
    pub workspace: u64,
    /// The bucket.
    pub bucket: BucketId,
    /// The number of the request.
    pub sequence: u32,
    /// The id of the agent's incarnation.
    pub agent: u32,
    /// The tokens that the entry may spend.
    pub granted: u64,
    /// The time until the bucket may grant more; 0 if it granted all that was needed.
    pub wait_ms: u64,
    /// The time after which a caller that is refused now may come back.
    pub retry_after_ms: u64,
    /// Whether the agent makes no more grants because its engine is leaving.
    pub is_leaving: bool,
    /// The agent that holds the bucket instead, if a newer list of backend servers names another.
    pub moved_to: Option<IpAddr>,
}

/// An entry's return of tokens that it has not spent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceReturn {
    /// The hash of the workspace's name.
    pub workspace: u64,
    /// The bucket.
    pub bucket: BucketId,
    /// The id of the entry's incarnation.
    pub entry: u32,
    /// The id of the agent's incarnation that granted the tokens.
    pub agent: u32,
    /// The number of the request for which they were granted.
    pub sequence: u32,
    /// All tokens of the grant that have been returned so far.
    pub returned: u64,
}

/// The notice to an agent that it does not hold a bucket any more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceMove {
    /// The hash of the workspace's name.
    pub workspace: u64,
    /// The bucket.
    pub bucket: BucketId,
    /// The version of the list of backend servers by which another agent holds it.
    pub list_version: u64,
    /// The agent that holds it.
    pub holder: IpAddr,
}
