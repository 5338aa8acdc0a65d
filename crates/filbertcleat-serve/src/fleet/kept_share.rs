//! Learns whether the engines of a service keep what they have read.

/// The share of the tokens of recently read prefixes that the engines of a service do not read
/// again.
///
/// Prompts with such a prefix are compared with others, both by how much earlier than expected they
/// begin. What the expectation does not hold, such as prompts of other entries ahead, makes both late
/// alike. The share is estimated pessimistically, by several standard errors below the difference. It
/// is 0 until enough of both kinds are known, and at engines that keep nothing.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KeptShare {
    with_prefix: Mean,
    without_prefix: Mean,
    /// The part of the expected time that the prefixes take.
    span: Mean,
    responses: u32,
    share: f64,
}

/// A mean whose numbers lose weight with each later observation of either kind.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    weight: f64,
    sum: f64,
    squares: f64,
}

impl KeptShare {
    /// The responses that are passed over, in which the expectation still changes.
    const PASSED_RESPONSES: u32 = 100;
    /// The part of the weight that a response keeps at the next one, so that the latest four hundred
    /// count.
    const RETENTION: f64 = 0.9975;
    /// The part of the share that remains at each response while there are too few prompts without a
    /// prefix, so that the share is not kept for ever once all prompts go to engines with theirs.
    const UNCONFIRMED_RETENTION: f64 = 0.999;
    /// The weight of each kind from which the two are compared, in responses.
    const WEIGHT_MIN: f64 = 15.0;
    /// The standard errors that are deducted. The comparison is repeated with each response, so that
    /// two of them would be exceeded by chance every now and then.
    const ERRORS: f64 = 4.0;

    /// Records the time that a response took, and the times that were expected of its whole prompt
    /// and of the rest without the recently read prefix.
    pub fn observe(&mut self, wait_ms: f64, whole_ms: f64, rest_ms: f64) {
        self.responses = self.responses.saturating_add(1);
        if self.responses <= Self::PASSED_RESPONSES {
            return;
        }
        for mean in [&mut self.with_prefix, &mut self.without_prefix, &mut self.span] {
            mean.decay(Self::RETENTION);
        }
        let whole_ms = whole_ms.max(1.0);
        // Prompts of others ahead make single responses many times slower.
        let earlier = ((whole_ms - wait_ms) / whole_ms).clamp(-1.0, 1.0);
        if rest_ms < whole_ms {
            self.with_prefix.add(earlier);
            self.span.add((whole_ms - rest_ms) / whole_ms);
        } else {
            self.without_prefix.add(earlier);
        }
        let weight = self.with_prefix.weight.min(self.without_prefix.weight);
        if weight < Self::WEIGHT_MIN {
            self.share *= Self::UNCONFIRMED_RETENTION;
            return;
        }
        let error = self.with_prefix.error().hypot(self.without_prefix.error());
        let gain = self.with_prefix.get() - self.without_prefix.get() - error * Self::ERRORS;
        self.share = (gain / self.span.get()).clamp(0.0, 1.0);
    }

    /// Returns the share, between 0 and 1.
    pub fn get(self) -> f64 {
        self.share
    }
}

impl Mean {
    fn decay(&mut self, retention: f64) {
        self.weight *= retention;
        self.sum *= retention;
        self.squares *= retention;
    }

    fn add(&mut self, value: f64) {
        self.weight += 1.0;
        self.sum += value;
        self.squares += value * value;
    }

    fn get(self) -> f64 {
        self.sum / self.weight
    }

    /// Returns the standard error of the mean.
    fn error(self) -> f64 {
        let mean = self.get();
        ((self.squares / self.weight - mean * mean).max(0.0) / self.weight).sqrt()
    }
}
