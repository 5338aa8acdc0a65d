//! The log line of a request.

use filbertcleat_base::MonoTime;
use filbertcleat_serve::ServerId;

use super::caller::CallerRequest;

/// Logs how a request ended.
pub(super) fn log_end(
    request: &CallerRequest,
    server: Option<&ServerId>,
    now: MonoTime,
    outcome: &str,
) {
    log::info!(
        "event=request-ended id={} route={} service={} server={} sends={} \
         queued_ms={} first_ms={} gap_ms={} took_ms={} outcome=\"{}\"",
        request.id,
        request.route.name,
        request.service,
        server.map_or("-", ServerId::as_str),
        request.sends,
        request.queued_ms,
        request.first_ms.map_or_else(|| "-".to_owned(), |ms| ms.to_string()),
        request.gap_ms,
        now.ms_since(request.arrived),
        outcome,
    );
}
