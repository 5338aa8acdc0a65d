//! A request in flight.

use filbertcleat_base::AttemptId;
use filbertcleat_base::Executed;
use filbertcleat_base::Fault;
use filbertcleat_base::MonoTime;
use filbertcleat_base::NodeName;

use super::CallerRequest;

/// A request in flight at an entry.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub request: CallerRequest,
    pub phase: Phase,
    /// The number of attempts made.
    pub attempts: u32,
    /// Agents that are not selected again for now, since attempts at them failed.
    pub excluded: Vec<NodeName>,
    /// Whether the request holds the claim of its idempotency key.
    pub claimed: bool,
    /// Whether an earlier attempt may have been executed.
    pub executed: Executed,
    /// The text that was delivered to the caller.
    pub delivered: String,
    /// The length of the prefix of `delivered` that the current attempt has reproduced.
    pub matched_bytes: usize,
    /// The number of chunks of the answer that the current attempt has reached.
    pub chunk_count: u64,
    /// The sequence number of the next event of the current attempt.
    pub next_sequence: u64,
    /// The stream to resume with the next attempt.
    pub resume_point: Option<ResumePoint>,
    /// Whether the next attempt has to be taken from the retry budget.
    pub needs_retry_token: bool,
    /// The fault of the last failed attempt.
    pub last_fault: Option<Fault>,
    /// The time to retry that the last refusal named.
    pub retry_after_ms: u64,
}

impl PendingRequest {
    /// Creates a request that waits to be sent.
    pub fn new(now: MonoTime, request: CallerRequest) -> Self {
        Self {
            request,
            phase: Phase::Waiting { since: now },
            attempts: 0,
            excluded: Vec::new(),
            claimed: false,
            executed: Executed::No,
            delivered: String::new(),
            matched_bytes: 0,
            chunk_count: 0,
            next_sequence: 0,
            resume_point: None,
            needs_retry_token: false,
            last_fault: None,
            retry_after_ms: 0,
        }
    }

    /// Starts the next attempt at an agent, and returns its id.
    pub fn start_attempt(&mut self, node: NodeName, is_resume: bool) -> AttemptId {
        self.attempts += 1;
        self.next_sequence = 0;
        self.resume_point = None;
        if !is_resume {
            self.matched_bytes = 0;
            self.chunk_count = 0;
        }
        let attempt = AttemptId::from(format!("{}.{}", self.request.id, self.attempts));
        self.phase = Phase::Sent { attempt: attempt.clone(), node };
        attempt
    }

    /// Ends the current attempt and excludes its agent; returns the attempt's id.
    pub fn end_attempt(&mut self) -> Option<AttemptId> {
        let Phase::Sent { attempt, node } = &self.phase else {
            return None;
        };
        let attempt = attempt.clone();
        if !self.excluded.contains(node) {
            self.excluded.push(node.clone());
        }
        Some(attempt)
    }

    /// Lets the next attempt resume the current stream; returns `false` if no attempt is running.
    pub fn plan_resume(&mut self) -> bool {
        let Phase::Sent { attempt, node } = &self.phase else {
            return false;
        };
        self.resume_point = Some(ResumePoint { attempt: attempt.clone(), node: node.clone() });
        true
    }

    /// Returns the part of a chunk that was not delivered to the caller yet.
    ///
    /// Fails if the chunk contradicts the delivered text, which a retried attempt has to reproduce.
    pub fn merge_chunk<'a>(&mut self, text: &'a str) -> Result<&'a str, ()> {
        self.chunk_count += 1;
        let unmatched = &self.delivered[self.matched_bytes..];
        let common_bytes = unmatched.len().min(text.len());
        if unmatched.as_bytes()[..common_bytes] != text.as_bytes()[..common_bytes] {
            return Err(());
        }
        self.matched_bytes += common_bytes;
        text.get(common_bytes..).ok_or(())
    }

    /// Returns the id of the current attempt.
    pub fn current_attempt(&self) -> Option<&AttemptId> {
        match &self.phase {
            Phase::Waiting { .. } => None,
            Phase::Sent { attempt, .. } => Some(attempt),
        }
    }

    /// Returns the agent of the current or last attempt.
    pub fn last_node(&self) -> NodeName {
        match &self.phase {
            Phase::Waiting { .. } => {
                self.excluded.last().cloned().unwrap_or_else(|| "entry".into())
            }
            Phase::Sent { node, .. } => node.clone(),
        }
    }
}

/// Where a request is being handled.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// At the entry, until a replica can take the request.
    Waiting { since: MonoTime },
    /// At an agent, in its current attempt.
    Sent { attempt: AttemptId, node: NodeName },
}

/// An interrupted stream that the agent's backend server still holds.
#[derive(Clone, Debug)]
pub(super) struct ResumePoint {
    pub attempt: AttemptId,
    pub node: NodeName,
}
