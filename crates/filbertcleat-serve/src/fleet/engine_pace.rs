//! Learns how slow one engine is compared with the others of its service.

/// The factor by which the first events of one engine take longer than the service's line says.
///
/// Load pattern: an engine turns slow, or is slower than the others from the start. Each response
/// moves the factor by a bounded step, so that a dozen responses follow a new pace and a single
/// outlier changes little.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EnginePace {
    log_factor: f64,
}

impl EnginePace {
    /// The part of the distance, in logarithms, by which one response moves the factor.
    const STEP: f64 = 0.15;
    /// The largest distance of one response: a factor of two.
    const DISTANCE_MAX: f64 = std::f64::consts::LN_2;
    /// The largest factor in either direction, in logarithms. Beyond a factor of twenty an engine is
    /// failing rather than slow.
    const LOG_FACTOR_MAX: f64 = 3.0;

    /// Creates the pace of an engine that is as fast as the line says.
    pub fn new() -> Self {
        Self { log_factor: 0.0 }
    }

    /// Records the ratio of an actual time to the one that was expected with the factor at hand.
    pub fn observe(&mut self, ratio: f64) {
        let distance = ratio.max(f64::MIN_POSITIVE).ln();
        let distance = distance.clamp(-Self::DISTANCE_MAX, Self::DISTANCE_MAX);
        let log_factor = self.log_factor + distance * Self::STEP;
        self.log_factor = log_factor.clamp(-Self::LOG_FACTOR_MAX, Self::LOG_FACTOR_MAX);
    }

    /// Returns the factor; 1 is as fast as the line says.
    pub fn factor(self) -> f64 {
        self.log_factor.exp()
    }
}
