//! Questions to agents that wait for replies.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use filbertcleat_serve::StreamOrigin;
use tokio::sync::oneshot;

use super::agent_replies::AgentReplies;

/// The origin of a stream, if an agent knows it, and which agents have replied.
pub(super) type OriginAnswer = (Option<StreamOrigin>, AgentReplies);

/// A question that not all agents have answered, shared by the requests that ask it.
#[derive(Debug, Default)]
pub(super) struct OpenQuery {
    /// The number of agents that were asked.
    pub asked: usize,
    /// The agents that have not replied. A late reply to an earlier question counts like one to a
    /// later question.
    pub awaited: BTreeSet<SocketAddr>,
    pub waiting: Vec<oneshot::Sender<OriginAnswer>>,
}

impl OpenQuery {
    /// Returns how many agents were asked and have replied.
    pub fn replies(&self) -> AgentReplies {
        AgentReplies { asked: self.asked, replied: self.asked - self.awaited.len() }
    }
}
