//! Model of a planned stop of an agent that the entry learns of late.

use crate::Model;

/// The rules that keep a planned stop from interrupting requests.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct StopRules {
    /// A draining agent refuses new requests.
    pub refuses_new: bool,
    /// A draining agent exits only when all its calls have ended.
    pub waits_for_calls: bool,
}

impl StopRules {
    /// All rules enforced.
    pub const ENFORCED: Self = Self { refuses_new: true, waits_for_calls: true };
}

/// A state of one entry, one agent that stops and one agent that keeps running.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StopModel {
    rules: StopRules,
    requests: [RequestState; 2],
    agent: AgentState,
    entry_knows_draining: bool,
    accepted_while_draining: bool,
}

/// The state of the agent that stops.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum AgentState {
    Serving,
    Draining,
    Stopped,
}

/// The state of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum RequestState {
    Entry,
    InTransit,
    Running,
    CutOff,
    Answered,
}

impl StopModel {
    /// Creates the initial state, with all requests at the entry.
    pub fn new(rules: StopRules) -> Self {
        Self {
            rules,
            requests: [RequestState::Entry; 2],
            agent: AgentState::Serving,
            entry_knows_draining: false,
            accepted_while_draining: false,
        }
    }

    /// Returns the state with another state of one request.
    fn with_request(&self, index: usize, state: RequestState) -> Self {
        let mut model = self.clone();
        model.requests[index] = state;
        model
    }

    /// Adds the successors that result from a step of one request.
    fn step_request(&self, index: usize, successors: &mut Vec<Self>) {
        match self.requests[index] {
            // Once the entry knows of the drain, it sends requests to the other agent, which
            // answers them.
            RequestState::Entry if self.entry_knows_draining => {
                successors.push(self.with_request(index, RequestState::Answered));
            }
            RequestState::Entry => {
                successors.push(self.with_request(index, RequestState::InTransit));
            }
            // A refused connection proves that the request was not run.
            RequestState::InTransit if self.agent == AgentState::Stopped => {
                let mut model = self.with_request(index, RequestState::Entry);
                model.entry_knows_draining = true;
                successors.push(model);
            }
            RequestState::InTransit
                if self.agent == AgentState::Draining && self.rules.refuses_new =>
            {
                let mut model = self.with_request(index, RequestState::Entry);
                model.entry_knows_draining = true;
                successors.push(model);
            }
            RequestState::InTransit => {
                let mut model = self.with_request(index, RequestState::Running);
                model.accepted_while_draining |= self.agent == AgentState::Draining;
                successors.push(model);
            }
            RequestState::Running => {
                successors.push(self.with_request(index, RequestState::Answered));
            }
            RequestState::CutOff | RequestState::Answered => {}
        }
    }
}

impl Model for StopModel {
    fn successors(&self) -> Vec<Self> {
        let mut successors = Vec::new();
        for index in 0..self.requests.len() {
            self.step_request(index, &mut successors);
        }
        if self.agent == AgentState::Serving {
            let mut model = self.clone();
            model.agent = AgentState::Draining;
            successors.push(model);
        }
        let has_calls = self.requests.contains(&RequestState::Running);
        if self.agent == AgentState::Draining && !(has_calls && self.rules.waits_for_calls) {
            let mut model = self.clone();
            model.agent = AgentState::Stopped;
            for state in &mut model.requests {
                if *state == RequestState::Running {
                    *state = RequestState::CutOff;
                }
            }
            successors.push(model);
        }
        successors
    }

    fn violation(&self) -> Option<&'static str> {
        if self.requests.contains(&RequestState::CutOff) {
            return Some("a planned stop interrupted a request");
        }
        self.accepted_while_draining.then_some("a draining agent accepted a new request")
    }
}
