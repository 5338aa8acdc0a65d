//! A planned stop of an agent, with an entry that learns of it late.

use crate::World;

/// The rules that planned stops rest on.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct StopRules {
    /// A leaving agent refuses new work.
    pub refuses_new: bool,
    /// It exits only when all calls have ended.
    pub waits_for_calls: bool,
}

impl StopRules {
    /// The rules as they are.
    pub const KEPT: Self = Self { refuses_new: true, waits_for_calls: true };
}

/// A state of one entry, one leaving agent and one that stays.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StopWorld {
    rules: StopRules,
    requests: [Place; 2],
    agent: AgentState,
    entry_knows: bool,
    taken_while_leaving: bool,
}

/// Where the agent stands.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum AgentState {
    Serving,
    Leaving,
    Gone,
}

/// Where a request is.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Place {
    Entry,
    OnTheWay,
    Running,
    CutOff,
    Answered,
}

impl StopWorld {
    /// Creates the start.
    pub fn new(rules: StopRules) -> Self {
        Self {
            rules,
            requests: [Place::Entry; 2],
            agent: AgentState::Serving,
            entry_knows: false,
            taken_while_leaving: false,
        }
    }

    fn with(&self, index: usize, place: Place) -> Self {
        let mut world = self.clone();
        world.requests[index] = place;
        world
    }

    fn request(&self, index: usize, next: &mut Vec<Self>) {
        match self.requests[index] {
            // Once the entry knows, the agent that stays answers.
            Place::Entry if self.entry_knows => next.push(self.with(index, Place::Answered)),
            Place::Entry => next.push(self.with(index, Place::OnTheWay)),
            // A connection that is refused proves that nothing was run.
            Place::OnTheWay if self.agent == AgentState::Gone => {
                let mut world = self.with(index, Place::Entry);
                world.entry_knows = true;
                next.push(world);
            }
            Place::OnTheWay if self.agent == AgentState::Leaving && self.rules.refuses_new => {
                let mut world = self.with(index, Place::Entry);
                world.entry_knows = true;
                next.push(world);
            }
            Place::OnTheWay => {
                let mut world = self.with(index, Place::Running);
                world.taken_while_leaving |= self.agent == AgentState::Leaving;
                next.push(world);
            }
            Place::Running => next.push(self.with(index, Place::Answered)),
            Place::CutOff | Place::Answered => {}
        }
    }
}

impl World for StopWorld {
    fn next(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for index in 0..self.requests.len() {
            self.request(index, &mut next);
        }
        if self.agent == AgentState::Serving {
            let mut world = self.clone();
            world.agent = AgentState::Leaving;
            next.push(world);
        }
        let calls = self.requests.contains(&Place::Running);
        if self.agent == AgentState::Leaving && !(calls && self.rules.waits_for_calls) {
            let mut world = self.clone();
            world.agent = AgentState::Gone;
            for place in &mut world.requests {
                if *place == Place::Running {
                    *place = Place::CutOff;
                }
            }
            next.push(world);
        }
        next
    }

    fn broken(&self) -> Option<&'static str> {
        if self.requests.contains(&Place::CutOff) {
            return Some("a planned stop cut a request off");
        }
        self.taken_while_leaving.then_some("a leaving agent took new work")
    }
}
