//! What the decision on base models looks at.

use filbertcleat_base::ModelName;

use super::standing::Standing;
use super::standing::by_need;
use crate::EngineReport;
use crate::EngineSpec;
use crate::ModelDemand;
use crate::ModelSpec;

/// What the decision on base models looks at.
pub(crate) struct View<'a> {
    /// What the engines of the service can hold.
    pub shape: &'a EngineSpec,
    /// The engine's last report.
    pub report: &'a EngineReport,
    /// The work that entries see.
    pub demand: &'a [ModelDemand],
    /// Adapters that are held or on their way.
    pub taken: usize,
    /// Whether requests run here on an adapter of the model that is going.
    pub is_used: bool,
}

impl<'a> View<'a> {
    /// Returns the model for an engine that holds none: the one whose engines would have the most
    /// work each with this one among them; of equal ones the one that the operators name first.
    pub fn first(&self) -> Option<ModelName> {
        let fitting = self.shape.models.iter().rev();
        let fitting = fitting.filter(|model| model.weights_mb <= self.shape.weights_max_mb);
        let most = fitting.map(|model| self.standing(model)).max_by(by_need);
        most.map(|standing| standing.shape.name.clone())
    }

    /// Returns the model that would gain most by this engine.
    pub fn lacking(&self) -> Option<Standing<'a>> {
        let others = self.shape.models.iter().filter(|model| {
            !self.report.loaded_models.contains(&model.name)
                && model.weights_mb <= self.shape.weights_max_mb
        });
        let standings = others.map(|model| self.standing(model));
        standings.filter(|standing| standing.work > 0).max_by(by_need)
    }

    /// Returns the model held here whose engines have the least work each.
    pub fn least_needed(&self) -> Option<Standing<'a>> {
        let held = self
            .shape
            .models
            .iter()
            .filter(|model| self.report.loaded_models.contains(&model.name));
        held.map(|model| self.standing(model))
            .min_by(|left, right| left.load_each().total_cmp(&right.load_each()))
    }

    /// Returns whether a model fits beside what is held.
    pub fn fits(&self, model: &ModelSpec) -> bool {
        let held =
            self.shape.models.iter().filter(|held| self.report.loaded_models.contains(&held.name));
        let (mut weights_mb, mut adapter_mb) = (model.weights_mb, model.adapter_mb);
        for held in held {
            weights_mb += held.weights_mb;
            adapter_mb = adapter_mb.max(held.adapter_mb);
        }
        // One place more, for the first adapter of the new model.
        weights_mb + adapter_mb * (self.taken + 1) as f64 <= self.shape.weights_max_mb
    }

    fn standing(&self, shape: &'a ModelSpec) -> Standing<'a> {
        let demand = self.demand.iter().find(|demand| demand.model == shape.name);
        let (work, engines) =
            demand.map_or((0, 0), |demand| (demand.recent_requests, demand.engines));
        Standing { shape, work, engines }
    }
}
