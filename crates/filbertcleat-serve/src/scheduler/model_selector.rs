//! Selects the base models that one engine loads.

mod change;
mod input;
mod model_load;

use filbertcleat_base::ModelName;
use filbertcleat_base::MonoTime;
use filbertcleat_base::mix_hashes;

pub(crate) use self::change::ModelChange;
pub(crate) use self::input::SelectionInput;

/// Selects the base models that one engine loads, from the demand that entries report.
///
/// Each agent decides on its own. It replaces the least needed model by the most needed one if the
/// load per engine of the new model, counting this engine, exceeds that of the old model by the
/// factor [`ModelSelector::REPLACEMENT_GAIN_MIN`]. Of the agents that could do so, a random few
/// act, because loads take seconds and the weight store serves only a few at once.
#[derive(Debug, Default)]
pub(crate) struct ModelSelector {
    seed: u64,
    draws: u64,
    evaluated_at: MonoTime,
    changed_at: Option<MonoTime>,
    unloading: Option<UnloadingModel>,
}

/// A model that is unloaded once its requests have ended.
#[derive(Clone, Debug)]
struct UnloadingModel {
    model: ModelName,
    since: MonoTime,
}

impl ModelSelector {
    /// The ratio of the loads per engine that justifies replacing a model. It covers the cost of a
    /// load and of the adapters and prompts that are lost with the old model, and lies above the
    /// variation of counts of a few dozen requests from one second to the next.
    const REPLACEMENT_GAIN_MIN: f64 = 2.0;
    /// The interval of evaluations, in which entries learn of the decisions of other agents.
    const EVALUATION_INTERVAL_MS: u64 = 1_000;
    /// The expected number of loads that all agents together start per interval: half of what the
    /// slowest weight store of the first deployments allows.
    const LOADS_PER_INTERVAL: f64 = 1.0;
    /// The time after a change in which no further change is made: several times the duration of a
    /// load.
    const CHANGE_COOLDOWN_MS: u64 = 15_000;
    /// The time that requests on an unloading model have to end. Most streams finish within it.
    const DRAIN_TIMEOUT_MS: u64 = 10_000;

    /// Creates the selector of one agent. The seed of its random choices must differ between
    /// agents.
    pub fn new(seed: u64) -> Self {
        Self { seed, ..Self::default() }
    }

    /// Discards the state that concerns the previous incarnation of the engine.
    pub fn reset(&mut self) {
        self.changed_at = None;
        self.unloading = None;
    }

    /// Returns whether a model is about to be unloaded.
    pub fn is_unloading(&self, model: &ModelName) -> bool {
        self.unloading.as_ref().is_some_and(|unloading| unloading.model == *model)
    }

    /// Returns the next change, if any is due.
    ///
    /// A model is unloaded when no request uses it and its announcement as unloading is at least
    /// `announcement_delay_ms` old, or when the drain timeout has expired.
    pub fn next_change(
        &mut self,
        now: MonoTime,
        input: &SelectionInput<'_>,
        announcement_delay_ms: u64,
    ) -> Option<ModelChange> {
        if input.report.loaded_models.is_empty() {
            self.unloading = None;
            return input.first_model().map(ModelChange::Load);
        }
        if let Some(unloading) = &self.unloading {
            if !input.report.loaded_models.contains(&unloading.model) {
                self.unloading = None;
                return None;
            }
            let since_ms = now.ms_since(unloading.since);
            let is_idle = !input.is_unloading_model_in_use && since_ms >= announcement_delay_ms;
            return (is_idle || since_ms >= Self::DRAIN_TIMEOUT_MS)
                .then(|| ModelChange::Unload(unloading.model.clone()));
        }
        self.evaluate(now, input)
    }

    /// Records that the engine accepted a change.
    pub fn on_change_accepted(&mut self, now: MonoTime) {
        self.changed_at = Some(now);
    }

    fn evaluate(&mut self, now: MonoTime, input: &SelectionInput<'_>) -> Option<ModelChange> {
        let is_cooling_down =
            self.changed_at.is_some_and(|at| now.ms_since(at) < Self::CHANGE_COOLDOWN_MS);
        if is_cooling_down || now.ms_since(self.evaluated_at) < Self::EVALUATION_INTERVAL_MS {
            return None;
        }
        self.evaluated_at = now;
        let most_needed = input.most_needed()?;
        let least_needed = input.least_needed()?;
        let gain = most_needed.per_engine_with_one_more();
        let loss = least_needed.per_engine();
        let fits = input.fits(most_needed.spec);
        // A model that fits beside the loaded ones costs a load, but replaces no other model.
        let gain_min = if fits { 1.0 } else { Self::REPLACEMENT_GAIN_MIN };
        if !most_needed.is_unserved() && gain <= loss * gain_min {
            return None;
        }
        // The last engine of a model is taken only for an unserved model with a higher load.
        if !fits && least_needed.engines <= 1 && !(most_needed.is_unserved() && gain > loss) {
            return None;
        }
        if !self.is_drawn(least_needed.engines) {
            return None;
        }
        if fits {
            return Some(ModelChange::Load(most_needed.spec.name.clone()));
        }
        let model = least_needed.spec.name.clone();
        self.unloading = Some(UnloadingModel { model, since: now });
        None
    }

    /// Draws whether this agent acts, if `engines` agents have the same choice.
    fn is_drawn(&mut self, engines: u32) -> bool {
        self.draws += 1;
        let draw = mix_hashes(self.seed, self.draws) as f64 / u64::MAX as f64;
        draw < Self::LOADS_PER_INTERVAL / f64::from(engines.max(1))
    }
}
