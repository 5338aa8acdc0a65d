//! The state from which an agent selects base models.

use filbertcleat_base::ModelName;

use super::model_load::ModelLoad;
use super::model_load::by_need;
use crate::EngineReport;
use crate::EngineSpec;
use crate::ModelDemand;
use crate::ModelSpec;

/// The state from which an agent selects the base models of its engine.
pub(crate) struct SelectionInput<'a> {
    /// The capacity and the models of the service's engines.
    pub engine_spec: &'a EngineSpec,
    /// The engine's last report.
    pub report: &'a EngineReport,
    /// The demand for base models that entries report.
    pub demand: &'a [ModelDemand],
    /// The adapter slots that are occupied or reserved.
    pub occupied_slots: usize,
    /// Whether requests run on an adapter of the model that is being unloaded.
    pub is_unloading_model_in_use: bool,
}

impl<'a> SelectionInput<'a> {
    /// Returns the model to load on an engine without a model: the one with the highest load per
    /// engine counting this one. Ties go to the model that the operators list first.
    pub fn first_model(&self) -> Option<ModelName> {
        let fitting = self.engine_spec.models.iter().rev();
        let fitting = fitting.filter(|model| model.weights_mb <= self.engine_spec.weights_max_mb);
        let most_needed = fitting.map(|model| self.model_load(model)).max_by(by_need);
        most_needed.map(|load| load.spec.name.clone())
    }

    /// Returns the model in demand, but not loaded here, that needs this engine most.
    pub fn most_needed(&self) -> Option<ModelLoad<'a>> {
        let others = self.engine_spec.models.iter().filter(|model| {
            !self.report.loaded_models.contains(&model.name)
                && model.weights_mb <= self.engine_spec.weights_max_mb
        });
        let loads = others.map(|model| self.model_load(model));
        loads.filter(|load| load.recent_requests > 0).max_by(by_need)
    }

    /// Returns the model loaded here with the lowest load per engine.
    pub fn least_needed(&self) -> Option<ModelLoad<'a>> {
        let loaded = self
            .engine_spec
            .models
            .iter()
            .filter(|model| self.report.loaded_models.contains(&model.name));
        loaded
            .map(|model| self.model_load(model))
            .min_by(|left, right| left.per_engine().total_cmp(&right.per_engine()))
    }

    /// Returns whether a model fits into memory beside the loaded models and adapters.
    pub fn fits(&self, model: &ModelSpec) -> bool {
        let loaded = self
            .engine_spec
            .models
            .iter()
            .filter(|model| self.report.loaded_models.contains(&model.name));
        let (mut weights_mb, mut adapter_mb) = (model.weights_mb, model.adapter_mb);
        for loaded in loaded {
            weights_mb += loaded.weights_mb;
            adapter_mb = adapter_mb.max(loaded.adapter_mb);
        }
        // One more slot for the first adapter of the new model.
        weights_mb + adapter_mb * (self.occupied_slots + 1) as f64
            <= self.engine_spec.weights_max_mb
    }

    fn model_load(&self, spec: &'a ModelSpec) -> ModelLoad<'a> {
        let demand = self.demand.iter().find(|demand| demand.model == spec.name);
        let (recent_requests, engines) =
            demand.map_or((0, 0), |demand| (demand.recent_requests, demand.engines));
        ModelLoad { spec, recent_requests, engines }
    }
}
