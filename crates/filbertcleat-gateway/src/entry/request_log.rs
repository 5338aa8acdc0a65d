//! Log lines and metrics of a request.

use std::fmt;

use filbertcleat_base::MonoTime;
use filbertcleat_serve::CrashSuspect;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::Server;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::WaitCause;

use super::refusal::Refusal;
use super::request::CallerRequest;
use crate::metrics::Metric;
use crate::metrics::Metrics;

/// Logs and counts a request that was refused before its route was known.
pub(super) fn log_refusal(metrics: &Metrics, id: Option<&str>, refusal: Refusal) {
    let (status, reason) = (refusal.status().as_u16(), refusal.reason());
    let id = id.unwrap_or("-");
    log::info!("event=request-refused id={id} status={status} reason=\"{reason}\"");
    metrics.count(Metric::Refusals, &[("reason", reason)]);
}

/// Logs where a request is sent, with the state that the entry assumed of the backend server.
pub(super) fn log_placement(
    metrics: &Metrics,
    request: &CallerRequest,
    server: &Server,
    backlog_ms: f64,
    now: MonoTime,
) {
    let demand = &request.demand;
    let expected_ms = (backlog_ms + server.idle_first_event_ms(demand)) as u64;
    let loaded_version = demand.adapter.as_ref().and_then(|key| server.loaded_version(key));
    log::info!(
        "event=request-placed id={} workspace={} server={} software={} resumes={} after={} adapter={} version={} held={} suspects={} prompt_tokens={} \
         queued_ms={} load={} expected_ms={expected_ms} token_us={:.1} gap_share={:.2} \
         chunked={} news_age_ms={} left_ms={}",
        request.id,
        request.workspace.as_ref().map_or("-", |workspace| workspace.name.as_str()),
        server.listed.id,
        server.listed.software_version,
        request.metadata.resumed_request.as_deref().unwrap_or("-"),
        OrDash(request.metadata.last_event_id),
        demand.adapter.as_ref().map_or("-", |key| key.adapter.as_str()),
        demand.min_version,
        OrDash(loaded_version),
        SuspectList(&demand.crash_suspects),
        demand.prompt_tokens,
        request.queued_ms,
        server.request_load(now),
        server.ms_per_token() * 1_000.0,
        server.gap_share(),
        server.prefills_in_chunks(),
        OrDash(server.update_age_ms(now)),
        request.remaining_ms(now),
    );
    if request.uses_engine {
        metrics.sample(Metric::QueueWait, request.queued_ms);
        metrics.sample(Metric::ExpectedTimeToFirstEvent, expected_ms);
    }
}

/// Logs a request that no backend server took within its maximum wait, with the state that the
/// entry assumed of the backend servers.
pub(super) fn log_give_up(
    request: &CallerRequest,
    fleet: &Fleet,
    now: MonoTime,
    cause: WaitCause,
    at: Option<&ServerId>,
) {
    let servers = || fleet.servers().filter(|server| server.listed.service == request.service);
    let key = request.demand.adapter.as_ref();
    let holders = servers()
        .filter(|server| key.is_none_or(|key| server.has_adapter(key, request.demand.min_version)));
    log::info!(
        "event=request-given-up id={} adapter={} version={} prompt_tokens={} queued_ms={} \
         cause=\"{}\" at={} at_news_age_ms={} servers={} usable={} heard={} holders={}",
        request.id,
        key.map_or("-", |key| key.adapter.as_str()),
        request.demand.min_version,
        request.demand.prompt_tokens,
        request.queued_ms,
        cause.as_str(),
        at.map_or("-", ServerId::as_str),
        OrDash(at.and_then(|at| fleet.server(at)).and_then(|server| server.update_age_ms(now))),
        servers().count(),
        servers().filter(|server| server.is_usable(now)).count(),
        servers().filter(|server| server.fresh_update(now).is_some()).count(),
        holders.count(),
    );
}

/// Logs and counts the outcome of a request.
pub(super) fn log_end(
    metrics: &Metrics,
    request: &CallerRequest,
    server: Option<&ServerId>,
    now: MonoTime,
    outcome: Outcome,
) {
    let kind = match request.route.retry_policy {
        RetryPolicy::Idempotent => "idempotent",
        RetryPolicy::AtMostOnce => "once",
        RetryPolicy::Stream { resumable: false } => "stream",
        RetryPolicy::Stream { resumable: true } => "resumable",
    };
    // Failures are an event kind of their own: the log rate limit applies per kind, so a surge of
    // successful requests does not suppress them.
    let event = if outcome.is_success() { "request-ended" } else { "request-failed" };
    log::info!(
        "event={event} id={} route={} kind={kind} service={} server={} sends={} queued_ms={} \
         first_ms={} gap_ms={} took_ms={} outcome=\"{}\"",
        request.id,
        request.route.name,
        request.service,
        server.map_or("-", ServerId::as_str),
        request.attempts,
        request.queued_ms,
        OrDash(request.first_byte_ms),
        request.longest_gap_ms,
        now.ms_since(request.arrived_at),
        outcome.log_text(),
    );
    let tags =
        [("route", request.route.name.as_str()), ("kind", kind), ("outcome", outcome.label())];
    metrics.count(Metric::Requests, &tags);
    if let Outcome::Refused(refusal) = outcome {
        metrics.count(Metric::Refusals, &[("reason", refusal.reason())]);
    }
    if let Some(first_byte_ms) = request.first_byte_ms {
        metrics.sample(Metric::TimeToFirstEvent, first_byte_ms);
        metrics.sample(Metric::LongestEventGap, request.longest_gap_ms);
    }
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Outcome {
    /// The complete response of a backend server was forwarded.
    Answered,
    /// A stream was forwarded to its end.
    Streamed,
    /// The backend server broke off a stream.
    Broken,
    /// The backend server sent nothing on a stream for the stall timeout.
    Stalled,
    /// The caller disconnected.
    CallerGone,
    /// The deadline of the request passed while its stream was forwarded.
    DeadlineExceeded,
    /// The entry refused the request.
    Refused(Refusal),
}

impl Outcome {
    fn is_success(self) -> bool {
        matches!(self, Self::Answered | Self::Streamed)
    }

    /// Returns the text for log lines.
    fn log_text(self) -> &'static str {
        match self {
            Self::Refused(refusal) => refusal.reason(),
            other => other.label(),
        }
    }

    /// Returns the tag value for metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Streamed => "streamed",
            Self::Broken => "broken",
            Self::Stalled => "silent",
            Self::CallerGone => "left",
            Self::DeadlineExceeded => "late",
            Self::Refused(_) => "refused",
        }
    }
}

/// Displays a number, or a dash if there is none.
pub(super) struct OrDash(pub Option<u64>);

impl fmt::Display for OrDash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(number) => write!(f, "{number}"),
            None => f.write_str("-"),
        }
    }
}

/// The content of a request and the parts of its prompt, separated by commas.
struct SuspectList<'a>(&'a [CrashSuspect]);

impl fmt::Display for SuspectList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some((first, others)) = self.0.split_first() else { return f.write_str("-") };
        write!(f, "{first}")?;
        others.iter().try_for_each(|suspect| write!(f, ",{suspect}"))
    }
}
