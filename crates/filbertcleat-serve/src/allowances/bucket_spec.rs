//! What one bucket of a workspace may grant.

use super::AllowanceBounds;

/// One bucket of a workspace.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum BucketId {
    /// The bucket with this number among those that share the allowance.
    Main(u8),
    /// The bucket that serves entries whose own bucket does not respond.
    Standby,
}

/// What one bucket of a workspace may grant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketSpec {
    /// The tokens that come in per second while the bucket does not know what was granted in the
    /// window before.
    pub start_rate_per_s: f64,
    /// The tokens that come in per second.
    pub rate_per_s: f64,
    /// The most tokens that the bucket holds.
    pub depth: f64,
    /// The most tokens that may be granted within a window, whatever the level.
    pub window_max: f64,
    /// The tokens in a bucket whose holder has just been chosen, but has run for a while.
    pub start_level: f64,
}

impl BucketSpec {
    /// The most main buckets of a workspace, so that the loss of one agent costs a large workspace a
    /// sixth of its allowance.
    const BUCKETS_MAX: u8 = 6;
    /// The smallest burst of a bucket in tokens: several times the largest request.
    const BURST_MIN: f64 = 16_384.0;
    /// The share of the margin by which main buckets may exceed the allowance in a window. It covers
    /// tokens that entries hold, requests larger than the level, and the higher rate and depth.
    const MAIN_SHARE: f64 = 0.5;
    /// The share of the margin that the standby bucket may grant in a window. The rest of the margin
    /// is for buckets whose holder has changed.
    const STANDBY_SHARE: f64 = 0.25;
    /// The share of the margin that makes buckets deeper than the burst. It makes up for tokens that
    /// one entry holds while another needs them, and for clumps that use the buckets unevenly.
    const DEPTH_SHARE: f64 = 0.25;
    /// The share of the margin that a bucket with a new holder starts with.
    const START_SHARE: f64 = 0.125;
    /// The share of the overage by which the rate exceeds what a window allows per second, to make up
    /// for lost tokens.
    const RATE_SHARE: f64 = 0.25;
    /// The time in which a standby bucket fills.
    const STANDBY_FILL_S: f64 = 2.0;

    /// Returns the number of main buckets of a workspace with this burst.
    pub fn count(burst: f64) -> u8 {
        ((burst / Self::BURST_MIN) as u8).clamp(1, Self::BUCKETS_MAX)
    }

    /// Returns what a bucket of a workspace with this allowance may grant.
    pub fn new(bounds: &AllowanceBounds, rate_per_s: f64, burst: f64, bucket: BucketId) -> Self {
        let margin = bounds.margin(rate_per_s, burst);
        let window_s = bounds.window_ms.max(1) as f64 / 1_000.0;
        match bucket {
            BucketId::Main(_) => {
                let count = f64::from(Self::count(burst));
                let allowed = bounds.allowed(rate_per_s, burst);
                let window_max = allowed + margin * Self::MAIN_SHARE;
                // The limit is that of a window, so that callers who stay within it in each window
                // are never refused, also if they use the burst in each of them.
                let made_up = (1.0 + bounds.overage * Self::RATE_SHARE) / count;
                Self {
                    start_rate_per_s: rate_per_s * made_up,
                    rate_per_s: allowed / window_s * made_up,
                    depth: (burst + margin * Self::DEPTH_SHARE) / count,
                    window_max: window_max / count,
                    start_level: margin * Self::START_SHARE / count,
                }
            }
            BucketId::Standby => {
                let window_max = margin * Self::STANDBY_SHARE;
                let rate_per_s = window_max / window_s;
                let depth = rate_per_s * Self::STANDBY_FILL_S;
                let start_rate_per_s = rate_per_s;
                Self { start_rate_per_s, rate_per_s, depth, window_max, start_level: depth }
            }
        }
    }
}
