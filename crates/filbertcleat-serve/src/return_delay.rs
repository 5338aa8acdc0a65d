//! The time after which a refused caller should return to paused backend servers.

use filbertcleat_base::MonoTime;

/// The part of the remaining pause over which callers return after its end. Callers that were
/// refused during that time would otherwise return all at once to the server that opens first.
const SPREAD_SHARE: f64 = 0.5;
/// The shortest spread, which keeps callers apart near the end of a pause.
const SPREAD_MIN_MS: u64 = 200;
/// The longest spread: servers are idle while callers that were sent away still wait.
const SPREAD_MAX_MS: u64 = 1_000;

/// Returns the time until the first paused server opens, plus a part of the spread that depends on
/// `seed`, in milliseconds.
pub fn return_delay_ms(now: MonoTime, opens_at: MonoTime, seed: u64) -> u64 {
    let remaining_ms = opens_at.ms_since(now);
    let spread_ms = (remaining_ms as f64 * SPREAD_SHARE) as u64;
    remaining_ms + seed % spread_ms.clamp(SPREAD_MIN_MS, SPREAD_MAX_MS)
}
