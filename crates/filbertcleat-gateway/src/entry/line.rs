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
        "event=request-ended id={} route={} service={} server={} sends={} took_ms={} outcome=\"{}\"",
        request.id,
        request.route.name,
        request.service,
        server.map_or("-", ServerId::as_str),
        request.sends,
        now.ms_since(request.arrived),
        outcome,
    );
}
