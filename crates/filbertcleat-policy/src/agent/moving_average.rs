//! An exponentially weighted moving average.

/// An exponentially weighted moving average.
#[derive(Clone, Copy, Debug)]
pub(super) struct MovingAverage {
    value: f64,
}

impl MovingAverage {
    /// The weight of a new sample, between 0 and 1.
    const SAMPLE_WEIGHT: f64 = 0.1;

    /// Creates an average with an initial value.
    pub fn new(value: f64) -> Self {
        Self { value }
    }

    /// Adds a sample.
    pub fn record(&mut self, sample: f64) {
        self.value += (sample - self.value) * Self::SAMPLE_WEIGHT;
    }

    /// Returns the current average.
    pub fn value(self) -> f64 {
        self.value
    }
}
