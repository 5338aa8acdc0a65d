//! Which base models one engine should hold.

mod change;
mod standing;
mod view;

use filbertcleat_base::ModelName;
use filbertcleat_base::MonoTime;
use filbertcleat_base::mix_hashes;

pub(crate) use self::change::ModelChange;
pub(crate) use self::view::View;

/// Which base models one engine should hold, by the work that entries see and the engines that
/// serve it.
///
/// Each agent decides alone. A model gets a further engine if the work for each of its engines would
/// still be larger by [`Models::GAIN`] than the work for each engine of the model that makes room, and
/// of the agents that could do it, a random few do: loads take seconds and the store of weights
/// serves few at once.
#[derive(Debug, Default)]
pub(crate) struct Models {
    seed: u64,
    draws: u64,
    considered: MonoTime,
    changed: Option<MonoTime>,
    going: Option<Going>,
}

/// A model that makes room once its runs are over.
#[derive(Clone, Debug)]
struct Going {
    model: ModelName,
    since: MonoTime,
}

impl Models {
    /// The gain in work for each engine that makes up for a load and for the adapters and prompts that
    /// are lost with a model. Counts of a few dozen requests differ by less from one second to the
    /// next.
    const GAIN: f64 = 2.0;
    /// The pace of decisions, in which entries hear of those of others.
    const CONSIDER_MS: u64 = 1_000;
    /// The loads that all agents together begin in one such time: half of what the slowest store of
    /// weights of the first deployments allows.
    const LOADS_AT_ONCE: f64 = 1.0;
    /// A model just loaded stays for so long: several times the time of a load.
    const KEPT_MS: u64 = 15_000;
    /// The time that the runs of a model have to end before it is dropped, which most streams need.
    const DRAINED_MS: u64 = 10_000;

    /// Creates the decisions of one agent, whose random choices come from a seed that differs between
    /// agents.
    pub fn new(seed: u64) -> Self {
        Self { seed, ..Self::default() }
    }

    /// Begins anew with another start of the engine.
    pub fn begin(&mut self) {
        self.changed = None;
        self.going = None;
    }

    /// Returns whether a model is about to be dropped.
    pub fn is_going(&self, model: &ModelName) -> bool {
        self.going.as_ref().is_some_and(|going| going.model == *model)
    }

    /// Returns the next change, if any is due.
    ///
    /// A model is dropped once it is no longer used and entries had `announced_ms` to hear that it goes,
    /// or once its runs had time to end.
    pub fn next(
        &mut self,
        now: MonoTime,
        view: &View<'_>,
        announced_ms: u64,
    ) -> Option<ModelChange> {
        if view.report.loaded_models.is_empty() {
            self.going = None;
            return view.first().map(ModelChange::Load);
        }
        if let Some(going) = &self.going {
            if !view.report.loaded_models.contains(&going.model) {
                self.going = None;
                return None;
            }
            let since_ms = now.ms_since(going.since);
            let is_idle = !view.is_used && since_ms >= announced_ms;
            return (is_idle || since_ms >= Self::DRAINED_MS)
                .then(|| ModelChange::Drop(going.model.clone()));
        }
        self.consider(now, view)
    }

    /// Notes that a change was ordered.
    pub fn change(&mut self, now: MonoTime) {
        self.changed = Some(now);
    }

    fn consider(&mut self, now: MonoTime, view: &View<'_>) -> Option<ModelChange> {
        let is_kept = self.changed.is_some_and(|at| now.ms_since(at) < Self::KEPT_MS);
        if is_kept || now.ms_since(self.considered) < Self::CONSIDER_MS {
            return None;
        }
        self.considered = now;
        let lacking = view.lacking()?;
        let least = view.least_needed()?;
        let gain = lacking.load_with_one_more();
        let loss = least.load_each();
        let fits = view.fits(lacking.shape);
        // Beside another a model costs a load, but no other model's place.
        let least_gain = if fits { 1.0 } else { Self::GAIN };
        if !lacking.is_unheld() && gain <= loss * least_gain {
            return None;
        }
        // The last engine of a model gives way only to one that has none at all and more work.
        if !fits && least.engines <= 1 && !(lacking.is_unheld() && gain > loss) {
            return None;
        }
        if !self.is_drawn(least.engines) {
            return None;
        }
        if fits {
            return Some(ModelChange::Load(lacking.shape.name.clone()));
        }
        self.going = Some(Going { model: least.shape.name.clone(), since: now });
        None
    }

    /// Draws whether this agent is one of the few that change now, of `engines` that could.
    fn is_drawn(&mut self, engines: u32) -> bool {
        self.draws += 1;
        let draw = mix_hashes(self.seed, self.draws) as f64 / u64::MAX as f64;
        draw < Self::LOADS_AT_ONCE / f64::from(engines.max(1))
    }
}
