//! How a model stands among all engines.

use std::cmp::Ordering;

use crate::ModelSpec;

/// How a model stands among all engines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Standing<'a> {
    /// The model.
    pub shape: &'a ModelSpec,
    /// Requests that came lately.
    pub work: u32,
    /// Engines that hold it or load it.
    pub engines: u32,
}

impl Standing<'_> {
    /// Returns the load on its engines; larger models take longer for the same request.
    pub fn load(&self) -> f64 {
        f64::from(self.work) * self.shape.weights_mb
    }

    /// Returns the load for each of its engines.
    pub fn load_each(&self) -> f64 {
        self.load() / f64::from(self.engines.max(1))
    }

    /// Returns the load for each of its engines if there were one more.
    pub fn load_with_one_more(&self) -> f64 {
        self.load() / f64::from(self.engines + 1)
    }

    /// Returns whether requests for it can't be served at all.
    pub fn is_unheld(&self) -> bool {
        self.engines == 0 && self.work > 0
    }
}

/// Orders models by their need of one more engine, where one that no engine holds needs it most.
pub(super) fn by_need(left: &Standing<'_>, right: &Standing<'_>) -> Ordering {
    let unheld = left.is_unheld().cmp(&right.is_unheld());
    unheld.then(left.load_with_one_more().total_cmp(&right.load_with_one_more()))
}
