//! The bound on what the requests of a workspace may cost within a window.

/// The bound on what the requests of a workspace may cost within any window:
/// `(rate x window + burst) x (1 + overage) + slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceBounds {
    /// The length of the window in ms.
    pub window_ms: u64,
    /// The share beyond the allowance that may run.
    pub overage: f64,
    /// The cost beyond the allowance that may run, whatever the allowance.
    pub slack: f64,
}

impl AllowanceBounds {
    /// Returns what an allowance permits within a window.
    pub fn allowed(&self, rate_per_s: f64, burst: f64) -> f64 {
        rate_per_s * self.window_ms as f64 / 1_000.0 + burst
    }

    /// Returns what may run beyond an allowance within a window.
    pub fn margin(&self, rate_per_s: f64, burst: f64) -> f64 {
        self.allowed(rate_per_s, burst) * self.overage + self.slack
    }
}
