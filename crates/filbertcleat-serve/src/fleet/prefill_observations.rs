//! Weighted sums over the observed times to the first event.

/// Weighted sums over the observed times to the first event and the lengths of the prompts.
///
/// The sums of several entries add up to those of all their observations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefillObservations {
    /// The sum of the weights.
    pub weight: f64,
    /// The sum of the prompt tokens.
    pub tokens: f64,
    /// The sum of the times to the first event, in milliseconds.
    pub ms: f64,
    /// The sum of the squared prompt tokens.
    pub tokens_squared: f64,
    /// The sum of the products of prompt tokens and milliseconds.
    pub tokens_ms: f64,
    /// The average distance of the observations from the expected times.
    pub distance_ms: f64,
}

impl PrefillObservations {
    /// Adds one observation.
    pub(super) fn add(&mut self, weight: f64, tokens: f64, ms: f64) {
        self.weight += weight;
        self.tokens += weight * tokens;
        self.ms += weight * ms;
        self.tokens_squared += weight * tokens * tokens;
        self.tokens_ms += weight * tokens * ms;
    }

    /// Lowers the weight of all observations.
    pub(super) fn decay(&mut self, retention: f64) {
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

    /// Returns the sums over the observations of both.
    pub fn merged(&self, other: &Self) -> Self {
        let weight = self.weight + other.weight;
        let distance_ms = self.distance_ms * self.weight + other.distance_ms * other.weight;
        Self {
            weight,
            tokens: self.tokens + other.tokens,
            ms: self.ms + other.ms,
            tokens_squared: self.tokens_squared + other.tokens_squared,
            tokens_ms: self.tokens_ms + other.tokens_ms,
            distance_ms: if weight > 0.0 { distance_ms / weight } else { 0.0 },
        }
    }

    /// Returns whether the sums can be those of observations: numbers of at least 0.
    pub fn is_valid(&self) -> bool {
        let Self { weight, tokens, ms, tokens_squared, tokens_ms, distance_ms } = *self;
        let sums = [weight, tokens, ms, tokens_squared, tokens_ms, distance_ms];
        sums.iter().all(|sum| sum.is_finite() && *sum >= 0.0)
    }

    /// Returns the weighted sum of the squared distances of the prompt lengths from their mean, at
    /// least one token squared.
    pub(super) fn token_variance(&self) -> f64 {
        (self.tokens_squared - self.tokens * self.tokens / self.weight).max(1.0)
    }

    /// Returns the slope of the line through zero and the means.
    pub(super) fn slope_through_zero(&self) -> f64 {
        self.ms / self.tokens.max(1.0)
    }
}
