//! Exhaustive search.

use std::hash::Hash;

use pathfinding::directed::bfs::bfs;
use pathfinding::directed::bfs::bfs_reach;

/// A state of a specification.
pub trait World: Clone + Eq + Hash {
    /// Returns the states that can follow.
    fn next(&self) -> Vec<Self>;

    /// Returns the rule that this state breaks, if it breaks one.
    fn broken(&self) -> Option<&'static str>;
}

/// What a search found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Explored<W> {
    /// The number of states that can be reached.
    pub states: usize,
    /// The shortest way to a state that breaks a rule.
    pub counterexample: Option<Vec<W>>,
}

/// Visits all states that can be reached, or finds the shortest way to a broken rule.
pub fn explore<W: World>(start: &W) -> Explored<W> {
    let counterexample = bfs(start, World::next, |world| world.broken().is_some());
    let states = match &counterexample {
        Some(path) => path.len(),
        None => bfs_reach(start.clone(), World::next).count(),
    };
    Explored { states, counterexample }
}
