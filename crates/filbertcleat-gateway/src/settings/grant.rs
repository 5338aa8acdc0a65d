//! The repeats that all entries together may send.

/// The repeats that all entries together may send to a service within a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// The repeats granted per request.
    pub ratio: f64,
    /// The repeats granted besides.
    pub slack: f64,
    /// The length of the window.
    pub window_ms: u64,
}
