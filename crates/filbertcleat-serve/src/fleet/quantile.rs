//! Tracks a quantile of a stream of positive numbers without storing them.

/// A quantile of a stream of positive numbers, which follows changes of the stream.
///
/// Each number moves the estimate by a step in its direction. The steps are relative, so that they
/// suit numbers of any magnitude, and shrink with the first numbers, so that one outlier does not
/// determine the start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Quantile {
    share: f64,
    log_value: f64,
    observations: u32,
}

impl Quantile {
    /// The smallest relative step. A change by a factor of two is followed after some 30 numbers
    /// at the median.
    const STEP_MIN: f64 = 0.05;

    /// Creates the estimate of the number below which `share` of all numbers are. It begins at
    /// `prior`.
    pub fn new(share: f64, prior: f64) -> Self {
        Self { share, log_value: prior.max(f64::MIN_POSITIVE).ln(), observations: 0 }
    }

    /// Records a number.
    pub fn observe(&mut self, value: f64) {
        let log_value = value.max(f64::MIN_POSITIVE).ln();
        self.observations = self.observations.saturating_add(1);
        if self.observations == 1 {
            self.log_value = log_value;
            return;
        }
        let step = (1.0 / f64::from(self.observations)).max(Self::STEP_MIN);
        let is_above = log_value > self.log_value;
        self.log_value += step * if is_above { self.share } else { self.share - 1.0 };
    }

    /// Returns the estimate.
    pub fn value(self) -> f64 {
        self.log_value.exp()
    }

    /// Returns the number of recorded numbers.
    pub fn observations(self) -> u32 {
        self.observations
    }
}
