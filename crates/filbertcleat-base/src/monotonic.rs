//! Points in time on a process's monotonic clock.

use std::fmt;
use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A point on the monotonic clock of one process.
///
/// State machines receive the current time as an argument instead of reading a clock.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct MonoTime {
    us: u64,
}

impl MonoTime {
    /// The start of the clock.
    pub const ZERO: Self = Self { us: 0 };

    /// Creates a time from microseconds since the clock's start.
    pub const fn from_us(us: u64) -> Self {
        Self { us }
    }

    /// Creates a time from milliseconds since the clock's start.
    pub const fn from_ms(ms: u64) -> Self {
        Self { us: ms * 1000 }
    }

    /// Returns the microseconds since the clock's start.
    pub const fn as_us(self) -> u64 {
        self.us
    }

    /// Returns the milliseconds since the clock's start.
    pub const fn as_ms(self) -> u64 {
        self.us / 1000
    }

    /// Returns the duration from `earlier` to this time, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.us.saturating_sub(earlier.us))
    }

    /// Returns the milliseconds from `earlier` to this time, or zero if `earlier` is later.
    pub const fn ms_since(self, earlier: Self) -> u64 {
        self.us.saturating_sub(earlier.us) / 1000
    }

    /// Returns the time `ms` milliseconds after this one, saturating at the largest time.
    pub const fn plus_ms(self, ms: u64) -> Self {
        Self { us: self.us.saturating_add(ms.saturating_mul(1000)) }
    }
}

impl Add<Duration> for MonoTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let us = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self { us: self.us.saturating_add(us) }
    }
}

impl fmt::Display for MonoTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}ms", self.us / 1000, self.us % 1000)
    }
}
