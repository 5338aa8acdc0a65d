//! Questions to agents for the origins of streams.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use filbertcleat_serve::RequestHash;
use filbertcleat_serve::StreamOrigin;
use tokio::sync::oneshot;

use super::agent_replies::AgentReplies;
use super::open_query::OpenQuery;
use super::open_query::OriginAnswer;
use super::origins::holders;
use super::state::Entry;
use crate::Dialect;
use crate::metrics::Metric;
use crate::peer_socket::PeerUpdate;

/// How long the agents are given to respond before they are asked again: several round trips
/// between failure domains. The time doubles with each further question.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);

/// A request's question to the agents that hold the origin of a stream. It ends when it is dropped.
pub(super) struct OriginQuestion<'a, D: Dialect> {
    entry: &'a Rc<Entry<D>>,
    request: RequestHash,
    replies: Cell<AgentReplies>,
}

impl<'a, D: Dialect> OriginQuestion<'a, D> {
    /// Creates the question for the stream that a request began.
    pub fn new(entry: &'a Rc<Entry<D>>, request: RequestHash) -> Self {
        Self { entry, request, replies: Cell::default() }
    }

    /// Asks the agents until one knows the origin of the stream, or until all have replied
    /// that they do not know the stream. Waits for ever if replies are missing.
    pub async fn answer(&self) -> Option<StreamOrigin> {
        let mut wait = REPLY_TIMEOUT;
        loop {
            let reply = self.ask()?;
            if let Ok(Ok((origin, replies))) = tokio::time::timeout(wait, reply).await {
                self.replies.set(replies);
                return origin;
            }
            wait *= 2;
        }
    }

    /// Returns how many agents were asked and have replied.
    pub fn replies(&self) -> AgentReplies {
        let state = self.entry.state.borrow();
        state.origins.queries.get(&self.request).map_or(self.replies.get(), OpenQuery::replies)
    }

    /// Asks the agents that hold the origin and have not replied, or returns `None` if no agent
    /// holds it.
    fn ask(&self) -> Option<oneshot::Receiver<OriginAnswer>> {
        let state = &mut *self.entry.state.borrow_mut();
        let holders = holders(&state.fleet, self.request, self.entry.settings.peer_port);
        if holders.is_empty() {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        let query = state.origins.queries.entry(self.request).or_default();
        if query.waiting.is_empty() {
            query.asked = holders.len();
            query.awaited.extend(holders);
        }
        query.waiting.retain(|waiting| !waiting.is_closed());
        query.waiting.push(sender);
        for holder in &query.awaited {
            self.entry.peers.send(*holder, &PeerUpdate::OriginQuery(self.request));
        }
        Some(receiver)
    }
}

impl<D: Dialect> Drop for OriginQuestion<'_, D> {
    fn drop(&mut self) {
        let queries = &mut self.entry.state.borrow_mut().origins.queries;
        let Some(query) = queries.get_mut(&self.request) else { return };
        query.waiting.retain(|waiting| !waiting.is_closed());
        if !query.waiting.is_empty() {
            return;
        }
        for _ in &query.awaited {
            self.entry.metrics.count(Metric::OriginReplies, &[("reply", "missing")]);
        }
        queries.remove(&self.request);
    }
}
