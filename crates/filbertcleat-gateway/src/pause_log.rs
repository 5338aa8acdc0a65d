//! The log line and the metric of a pause that a backend server asks for.

use filbertcleat_serve::RequestedPause;

use crate::metrics::Metric;
use crate::metrics::Metrics;

/// Logs and counts a pause of `pause_ms` that a backend server asked for.
pub(crate) fn log_pause(
    metrics: &Metrics,
    by: &str,
    server: &str,
    requested: RequestedPause,
    pause_ms: u64,
) {
    let asked_ms = requested.asked_ms().map_or("-".to_owned(), |asked_ms| asked_ms.to_string());
    log::info!(
        "event=pause-requested by={by} server={server} asked_ms={asked_ms} pause_ms={pause_ms}"
    );
    metrics.count(Metric::Pauses, &[("by", by)]);
}
