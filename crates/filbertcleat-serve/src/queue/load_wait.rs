//! Learns how long requests wait for the loads of their adapters.

/// The time for which requests of this entry have recently waited for the load of an adapter.
///
/// Load pattern: more adapters are demanded than the weight store serves at full speed, so that all
/// loads take longer. No process knows how many are under way; the loads themselves show it.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadWait {
    expected_ms: f64,
}

impl LoadWait {
    /// The assumed wait before a load has finished: pessimistic, so that no copies are loaded before
    /// their cost is known.
    const PRIOR_MS: f64 = 1_000.0;
    /// The weight of the latest load in the moving average.
    const WEIGHT: f64 = 0.1;

    /// Creates the average before the first load.
    pub fn new() -> Self {
        Self { expected_ms: Self::PRIOR_MS }
    }

    /// Returns the expected wait for a load that begins now.
    pub fn expected_ms(self) -> u64 {
        self.expected_ms as u64
    }

    /// Records that a request was sent to the engine that loaded its adapter.
    pub fn on_finished(&mut self, waited_ms: u64) {
        self.expected_ms += (waited_ms as f64 - self.expected_ms) * Self::WEIGHT;
    }

    /// Records that a request left the queue before its adapter was loaded.
    pub fn on_unfinished(&mut self, waited_ms: u64) {
        if waited_ms as f64 > self.expected_ms {
            self.on_finished(waited_ms);
        }
    }
}
