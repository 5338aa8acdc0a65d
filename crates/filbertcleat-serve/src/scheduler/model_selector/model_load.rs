//! The request load of a base model over all engines.

use std::cmp::Ordering;

use crate::ModelSpec;

/// The request load of a base model over all engines of the service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ModelLoad<'a> {
    /// The model.
    pub spec: &'a ModelSpec,
    /// The requests that arrived recently.
    pub recent_requests: u32,
    /// The engines that have loaded the model or are loading it.
    pub engines: u32,
}

impl ModelLoad<'_> {
    /// Returns the load on all engines of the model. Requests are weighted by the size of the
    /// model's weights, since larger models take longer for the same request.
    pub fn total(&self) -> f64 {
        f64::from(self.recent_requests) * self.spec.weights_mb
    }

    /// Returns the load per engine.
    pub fn per_engine(&self) -> f64 {
        self.total() / f64::from(self.engines.max(1))
    }

    /// Returns the load per engine with one additional engine.
    pub fn per_engine_with_one_more(&self) -> f64 {
        self.total() / f64::from(self.engines + 1)
    }

    /// Returns whether requests for the model arrive but no engine can serve them.
    pub fn is_unserved(&self) -> bool {
        self.engines == 0 && self.recent_requests > 0
    }
}

/// Orders models by their need of an additional engine. Unserved models need it most.
pub(super) fn by_need(left: &ModelLoad<'_>, right: &ModelLoad<'_>) -> Ordering {
    let unserved = left.is_unserved().cmp(&right.is_unserved());
    unserved.then(left.per_engine_with_one_more().total_cmp(&right.per_engine_with_one_more()))
}
