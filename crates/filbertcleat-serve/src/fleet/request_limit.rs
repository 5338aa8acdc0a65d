//! The limit on requests that a backend server names.

use std::fmt;

/// The rate of requests that a backend server takes from all entries together.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestLimit {
    thousandths_per_s: u64,
}

impl RequestLimit {
    /// Creates the limit from requests per second, or returns `None` if that is no such number.
    pub fn per_second(requests: f64) -> Option<Self> {
        // The conversion of a value that is too large saturates.
        let thousandths_per_s = (requests * 1_000.0) as u64;
        (requests >= 0.0).then_some(Self { thousandths_per_s })
    }

    /// Creates the limit from thousandths of a request per second.
    pub fn from_thousandths(thousandths_per_s: u64) -> Self {
        Self { thousandths_per_s }
    }

    /// Returns the limit in thousandths of a request per second.
    pub fn thousandths(self) -> u64 {
        self.thousandths_per_s
    }
}

impl fmt::Display for RequestLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.thousandths_per_s as f64 / 1_000.0)
    }
}
