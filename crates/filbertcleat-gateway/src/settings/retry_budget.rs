//! The settings of the retry budget.

/// The retries that all entries together may send to a service within a time window.
///
/// The budget is `ratio` times the requests in the window, plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// The retries allowed per request.
    pub ratio: f64,
    /// The retries allowed in addition, whatever the number of requests.
    pub slack: f64,
    /// The length of the window in ms.
    pub window_ms: u64,
}
