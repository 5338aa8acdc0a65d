//! The times of facts that processes tell each other.

use filbertcleat_base::MonoTime;

/// A point on the clock of this process, which may lie before the start of the process.
///
/// Clocks of processes have nothing in common, so that they tell each other ages.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct FactTime {
    ms: i64,
}

impl FactTime {
    /// Returns the current time.
    pub fn now(now: MonoTime) -> Self {
        Self { ms: i64::try_from(now.as_ms()).unwrap_or(i64::MAX) }
    }

    /// Returns the time `age_ms` milliseconds ago.
    pub fn ago(now: MonoTime, age_ms: u64) -> Self {
        Self { ms: Self::now(now).ms.saturating_sub_unsigned(age_ms) }
    }

    /// Returns the milliseconds from this time until now.
    pub fn age_ms(self, now: MonoTime) -> u64 {
        Self::now(now).ms_since(self)
    }

    /// Returns the milliseconds from `earlier` to this time, or zero if `earlier` is later.
    pub fn ms_since(self, earlier: Self) -> u64 {
        u64::try_from(self.ms.saturating_sub(earlier.ms)).unwrap_or(0)
    }
}
