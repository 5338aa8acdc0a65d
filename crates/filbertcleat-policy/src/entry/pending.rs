//! A request in progress.

use filbertcleat_base::AttemptId;
use filbertcleat_base::Executed;
use filbertcleat_base::Fault;
use filbertcleat_base::MonoTime;
use filbertcleat_base::NodeName;

use super::CallerRequest;

/// A request in progress.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub arrival: CallerRequest,
    pub phase: Phase,
    pub attempts: u32,
    pub excluded: Vec<NodeName>,
    pub claimed: bool,
    pub run: Executed,
    /// The text that the caller has.
    pub delivered: String,
    /// How much of it the present attempt has sent again.
    pub matched: usize,
    /// The number of chunks that the present attempt has reached.
    pub chunks: u64,
    pub expected_sequence: u64,
    pub resume_at: Option<Resume>,
    pub needs_token: bool,
    pub fault: Option<Fault>,
    pub retry_after_ms: u64,
}

impl Pending {
    pub fn new(now: MonoTime, arrival: CallerRequest) -> Self {
        Self {
            arrival,
            phase: Phase::Held { since: now },
            attempts: 0,
            excluded: Vec::new(),
            claimed: false,
            run: Executed::No,
            delivered: String::new(),
            matched: 0,
            chunks: 0,
            expected_sequence: 0,
            resume_at: None,
            needs_token: false,
            fault: None,
            retry_after_ms: 0,
        }
    }

    /// Begins an attempt at an agent, and returns its id.
    pub fn start(&mut self, node: NodeName, resumes: bool) -> AttemptId {
        self.attempts += 1;
        self.expected_sequence = 0;
        self.resume_at = None;
        if !resumes {
            self.matched = 0;
            self.chunks = 0;
        }
        let attempt = AttemptId::from(format!("{}.{}", self.arrival.request, self.attempts));
        self.phase = Phase::Trying { attempt: attempt.clone(), node };
        attempt
    }

    /// Ends the present attempt, whose agent is not asked again soon.
    pub fn end_attempt(&mut self) -> Option<AttemptId> {
        let Phase::Trying { attempt, node } = &self.phase else {
            return None;
        };
        let attempt = attempt.clone();
        if !self.excluded.contains(node) {
            self.excluded.push(node.clone());
        }
        Some(attempt)
    }

    /// Plans to resume the present attempt at its agent.
    pub fn resume_here(&mut self) -> bool {
        let Phase::Trying { attempt, node } = &self.phase else {
            return false;
        };
        self.resume_at = Some(Resume { attempt: attempt.clone(), node: node.clone() });
        true
    }

    /// Returns the part of a chunk that the caller does not have yet.
    ///
    /// A repeated answer has to agree with what the caller has.
    pub fn join<'a>(&mut self, text: &'a str) -> Result<&'a str, ()> {
        self.chunks += 1;
        let known = &self.delivered[self.matched..];
        let common = known.len().min(text.len());
        if known.as_bytes()[..common] != text.as_bytes()[..common] {
            return Err(());
        }
        self.matched += common;
        text.get(common..).ok_or(())
    }

    pub fn attempt(&self) -> Option<&AttemptId> {
        match &self.phase {
            Phase::Held { .. } => None,
            Phase::Trying { attempt, .. } => Some(attempt),
        }
    }

    /// Returns the agent that the request was last sent to.
    pub fn node(&self) -> NodeName {
        match &self.phase {
            Phase::Held { .. } => self.excluded.last().cloned().unwrap_or_else(|| "entry".into()),
            Phase::Trying { node, .. } => node.clone(),
        }
    }
}

/// Where a request stands.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// At the entry, until an agent can take it.
    Held { since: MonoTime },
    /// At an agent.
    Trying { attempt: AttemptId, node: NodeName },
}

/// A stream that an agent's backend server still holds.
#[derive(Clone, Debug)]
pub(super) struct Resume {
    pub attempt: AttemptId,
    pub node: NodeName,
}
