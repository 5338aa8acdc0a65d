//! Learns how the time to the first event depends on the length of the prompt.

use super::PrefillObservations;

/// The expected time to the first event of a prompt on an idle engine: a line over the prompt
/// length, fitted to the responses of all engines of a service.
///
/// The fit is a least-squares line whose observations lose weight with each later one. Entries of a
/// large fleet see a single engine too rarely to learn its line, so the line is common to the
/// engines and each engine has a factor of its own (`EnginePace`).
///
/// The slope is estimated pessimistically: by its standard error above the fitted one, but not above
/// the slope of a line through zero. A slope that is too low would admit more prompts than an engine
/// can read, while one that is too high is corrected by the next responses.
///
/// Load pattern: single responses are much faster than the line (their prompt was cached) or much
/// slower (prompts of other entries were ahead). Their distance from the line is therefore clipped
/// to a few times the usual distance.
///
/// Where agents decide when prompts are sent (`PromptTurns`), responses that took longer by more than
/// the usual distance are left out: delays by other prompts grow with the prompt, and a line that
/// includes them is a margin against prompts that collide, which the agents already keep apart. If
/// engines turn slow, the usual distance grows until their responses count again.
///
/// Entries tell each other their observations. In a large fleet a single entry sees so few responses
/// that the pessimistic assumptions would hold for tens of seconds, in which requests wait beside
/// idle engines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefillFit {
    /// The assumptions and the entry's own observations.
    own: PrefillObservations,
    /// What the other entries have observed.
    others: PrefillObservations,
    observations: u32,
}

impl PrefillFit {
    /// The assumed time to the first event of an empty prompt. Like the assumed rate it is
    /// pessimistic and has the weight of a small part of one observation.
    const PRIOR_FIRST_MS: f64 = 50.0;
    /// The assumed prefill time per token: slow even for a large model on a single accelerator.
    const PRIOR_MS_PER_TOKEN: f64 = 0.1;
    /// The prompt length at which the assumed line has its second point.
    const PRIOR_TOKENS: f64 = 1_000.0;
    /// The weight of each of the two points of the assumed line, in observations.
    const PRIOR_WEIGHT: f64 = 0.1;
    /// The part of the weight that an observation keeps at the next one, so that the latest two
    /// hundred determine the line.
    const RETENTION: f64 = 0.995;
    /// The number of observations after which distances are clipped and averaged with decay.
    const DISTANCES_MIN: u32 = 20;
    /// The largest distance of an observation, in average distances.
    const DISTANCE_MAX: f64 = 3.0;
    /// The distance above the line from which a response counts as delayed, in average distances. If
    /// the engines turn twice as slow, only long prompts exceed it, and not for long.
    const DELAYED_DISTANCE: f64 = 1.5;
    /// The lowest slope, as a part of the slope of a line through zero.
    const SLOPE_MIN: f64 = 0.2;

    /// Creates a line from the pessimistic assumptions.
    pub fn new() -> Self {
        let mut own = PrefillObservations {
            distance_ms: Self::PRIOR_FIRST_MS,
            ..PrefillObservations::default()
        };
        for tokens in [0.0, Self::PRIOR_TOKENS] {
            let ms = Self::PRIOR_FIRST_MS + tokens * Self::PRIOR_MS_PER_TOKEN;
            own.add(Self::PRIOR_WEIGHT, tokens, ms);
        }
        Self { own, others: PrefillObservations::default(), observations: 0 }
    }

    /// Returns the entry's own observations.
    pub fn own_observations(&self) -> PrefillObservations {
        self.own
    }

    /// Sets what the other entries have observed.
    pub fn set_others(&mut self, others: PrefillObservations) {
        self.others = others;
    }

    /// Records that the first event of a prompt came after `wait_ms`, without the time that the
    /// engine needed for the prompts ahead.
    pub fn observe(&mut self, prompt_tokens: u64, wait_ms: f64, filter: ObservationFilter) {
        let expected_ms = self.first_event_ms(prompt_tokens);
        let mut distance_ms = wait_ms - expected_ms;
        let mut is_delayed = false;
        if self.is_settled() {
            let mean_ms = self.all().distance_ms;
            is_delayed = distance_ms > mean_ms * Self::DELAYED_DISTANCE;
            let limit_ms = mean_ms * Self::DISTANCE_MAX;
            distance_ms = distance_ms.clamp(-limit_ms, limit_ms);
        }
        self.observations = self.observations.saturating_add(1).min(Self::DISTANCES_MIN);
        let distance_weight = 1.0 / f64::from(self.observations);
        self.own.distance_ms += (distance_ms.abs() - self.own.distance_ms) * distance_weight;
        if is_delayed && filter == ObservationFilter::Undelayed {
            return;
        }
        self.own.decay(Self::RETENTION);
        self.own.add(1.0, prompt_tokens as f64, expected_ms + distance_ms);
    }

    /// Returns whether a response that came this long after the expected time was delayed by other
    /// prompts.
    pub fn is_delayed(&self, distance_ms: f64) -> bool {
        self.is_settled() && distance_ms > self.all().distance_ms * Self::DELAYED_DISTANCE
    }

    /// Returns whether enough responses have replaced the assumptions.
    pub fn is_settled(&self) -> bool {
        let others = self.others.weight;
        f64::from(self.observations) + others >= f64::from(Self::DISTANCES_MIN)
    }

    /// Returns the expected time to the first event on an idle engine.
    pub fn first_event_ms(&self, prompt_tokens: u64) -> f64 {
        let all = self.all();
        let PrefillObservations { weight, tokens, ms, .. } = all;
        let slope = fitted_slope(&all);
        (ms / weight + (prompt_tokens as f64 - tokens / weight) * slope).max(0.0)
    }

    /// Returns the prefill time per token, by its standard error above the fitted one.
    pub fn ms_per_token(&self) -> f64 {
        let all = self.all();
        let error = all.distance_ms / all.token_variance().sqrt();
        (fitted_slope(&all) + error).min(all.slope_through_zero())
    }

    fn all(&self) -> PrefillObservations {
        self.own.merged(&self.others)
    }
}

fn fitted_slope(observations: &PrefillObservations) -> f64 {
    let PrefillObservations { weight, tokens, ms, tokens_ms, .. } = *observations;
    let slope = (tokens_ms - tokens * ms / weight) / observations.token_variance();
    let through_zero = observations.slope_through_zero();
    slope.clamp(through_zero * PrefillFit::SLOPE_MIN, through_zero)
}

/// Which observations determine a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ObservationFilter {
    /// All of them.
    All,
    /// Those that other prompts neither delayed nor were expected to delay.
    Undelayed,
}

impl ObservationFilter {
    /// Returns whether a response shows nothing because of the prompts that were expected ahead of it.
    ///
    /// Where agents decide when prompts are sent, the expected backlog also stands for delays and for
    /// engines without room, so that it exceeds what the engine had to read. The time that is left
    /// after the backlog is deducted then makes the engine look faster than it is, and its prompts
    /// are sent too close together.
    pub fn leaves_out(self, backlog_ms: f64) -> bool {
        match self {
            Self::All => false,
            Self::Undelayed => backlog_ms > 0.0,
        }
    }
}
