//! Learns how the time to the first event depends on the length of the prompt.

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
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefillFit {
    sums: Sums,
    observations: u32,
    /// The average distance of observations from the line.
    distance_ms: f64,
}

/// Weighted sums over the observations.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    weight: f64,
    tokens: f64,
    ms: f64,
    tokens_squared: f64,
    tokens_ms: f64,
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
    /// The lowest slope, as a part of the slope of a line through zero.
    const SLOPE_MIN: f64 = 0.2;

    /// Creates a line from the pessimistic assumptions.
    pub fn new() -> Self {
        let mut sums = Sums::default();
        for tokens in [0.0, Self::PRIOR_TOKENS] {
            let ms = Self::PRIOR_FIRST_MS + tokens * Self::PRIOR_MS_PER_TOKEN;
            sums.add(Self::PRIOR_WEIGHT, tokens, ms);
        }
        Self { sums, observations: 0, distance_ms: Self::PRIOR_FIRST_MS }
    }

    /// Records that the first event of a prompt came after `wait_ms`, without the time that the
    /// engine needed for the prompts ahead.
    pub fn observe(&mut self, prompt_tokens: u64, wait_ms: f64) {
        let expected_ms = self.first_event_ms(prompt_tokens);
        let mut distance_ms = wait_ms - expected_ms;
        if self.is_settled() {
            let limit_ms = self.distance_ms * Self::DISTANCE_MAX;
            distance_ms = distance_ms.clamp(-limit_ms, limit_ms);
        }
        self.observations = self.observations.saturating_add(1).min(Self::DISTANCES_MIN);
        let distance_weight = 1.0 / f64::from(self.observations);
        self.distance_ms += (distance_ms.abs() - self.distance_ms) * distance_weight;
        self.sums.decay(Self::RETENTION);
        self.sums.add(1.0, prompt_tokens as f64, expected_ms + distance_ms);
    }

    /// Returns whether enough responses have replaced the assumptions.
    pub fn is_settled(&self) -> bool {
        self.observations >= Self::DISTANCES_MIN
    }

    /// Returns the expected time to the first event on an idle engine.
    pub fn first_event_ms(&self, prompt_tokens: u64) -> f64 {
        let Sums { weight, tokens, ms, .. } = self.sums;
        let slope = self.fitted_slope();
        (ms / weight + (prompt_tokens as f64 - tokens / weight) * slope).max(0.0)
    }

    /// Returns the prefill time per token, by its standard error above the fitted one.
    pub fn ms_per_token(&self) -> f64 {
        let error = self.distance_ms / self.sums.token_variance().sqrt();
        (self.fitted_slope() + error).min(self.sums.slope_through_zero())
    }

    fn fitted_slope(&self) -> f64 {
        let Sums { weight, tokens, ms, tokens_ms, .. } = self.sums;
        let slope = (tokens_ms - tokens * ms / weight) / self.sums.token_variance();
        let through_zero = self.sums.slope_through_zero();
        slope.clamp(through_zero * Self::SLOPE_MIN, through_zero)
    }
}

impl Sums {
    fn add(&mut self, weight: f64, tokens: f64, ms: f64) {
        self.weight += weight;
        self.tokens += weight * tokens;
        self.ms += weight * ms;
        self.tokens_squared += weight * tokens * tokens;
        self.tokens_ms += weight * tokens * ms;
    }

    fn decay(&mut self, retention: f64) {
        for sum in [
            &mut self.weight,
            &mut self.tokens,
            &mut self.ms,
            &mut self.tokens_squared,
            &mut self.tokens_ms,
        ] {
            *sum *= retention;
        }
    }

    /// Returns the weighted sum of the squared distances of the prompt lengths from their mean, at
    /// least one token squared.
    fn token_variance(&self) -> f64 {
        (self.tokens_squared - self.tokens * self.tokens / self.weight).max(1.0)
    }

    /// Returns the slope of the line through zero and the means.
    fn slope_through_zero(&self) -> f64 {
        self.ms / self.tokens.max(1.0)
    }
}
