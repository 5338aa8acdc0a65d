//! Exhaustive state space search.

use std::hash::Hash;

use pathfinding::directed::bfs::bfs;
use pathfinding::directed::bfs::bfs_reach;

/// A state of a model.
pub trait Model: Clone + Eq + Hash {
    /// Returns the states that can follow this one.
    fn successors(&self) -> Vec<Self>;

    /// Returns the property that this state violates, if any.
    fn violation(&self) -> Option<&'static str>;
}

/// The result of a search.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Exploration<M> {
    /// The number of reachable states, or the length of the counterexample if there is one.
    pub state_count: usize,
    /// The shortest path to a state that violates a property.
    pub counterexample: Option<Vec<M>>,
}

/// Visits all states that are reachable from `start`, or finds the shortest path to a violation.
pub fn explore<M: Model>(start: &M) -> Exploration<M> {
    let counterexample = bfs(start, Model::successors, |model| model.violation().is_some());
    let state_count = match &counterexample {
        Some(path) => path.len(),
        None => bfs_reach(start.clone(), Model::successors).count(),
    };
    Exploration { state_count, counterexample }
}
