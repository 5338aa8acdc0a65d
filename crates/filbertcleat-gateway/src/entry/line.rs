//! The log lines and counters of a request.

use std::fmt;

use filbertcleat_base::MonoTime;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::Server;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::WaitCause;

use super::caller::CallerRequest;
use super::refusal::Refusal;
use crate::metrics::Metric;
use crate::metrics::Metrics;

/// Notes a request that was refused before it had a route.
pub(super) fn note_refusal(metrics: &Metrics, id: Option<&str>, refusal: Refusal) {
    let (status, reason) = (refusal.status().as_u16(), refusal.reason());
    let id = id.unwrap_or("-");
    log::info!("event=request-refused id={id} status={status} reason=\"{reason}\"");
    metrics.count(Metric::Refusals, &[("reason", reason)]);
}

/// Notes where a request is sent, with what was believed of the backend server.
pub(super) fn note_place(
    metrics: &Metrics,
    request: &CallerRequest,
    server: &Server,
    now: MonoTime,
) {
    let demand = &request.demand;
    let expected_ms = server.estimated_first_event_ms(now, demand) as u64;
    let held = demand.adapter.as_ref().and_then(|key| server.loaded_version(key));
    log::info!(
        "event=request-placed id={} server={} adapter={} version={} held={} prompt_tokens={} \
         queued_ms={} load={} expected_ms={expected_ms} news_age_ms={} left_ms={}",
        request.id,
        server.listed.id,
        demand.adapter.as_ref().map_or("-", |key| key.adapter.as_str()),
        demand.min_version,
        Shown(held),
        demand.prompt_tokens,
        request.queued_ms,
        server.request_load(now),
        Shown(server.update_age_ms(now)),
        request.left_ms(now),
    );
    if request.is_engine {
        metrics.sample(Metric::QueueWait, request.queued_ms);
        metrics.sample(Metric::ExpectedTimeToFirstEvent, expected_ms);
    }
}

/// Notes a request that waited in vain, with what was believed of the backend servers.
pub(super) fn note_given_up(
    request: &CallerRequest,
    fleet: &Fleet,
    now: MonoTime,
    cause: WaitCause,
    at: Option<&ServerId>,
) {
    let service = || fleet.servers().filter(|server| server.listed.service == request.service);
    let key = request.demand.adapter.as_ref();
    let holders = service()
        .filter(|server| key.is_none_or(|key| server.has_adapter(key, request.demand.min_version)));
    log::info!(
        "event=request-given-up id={} adapter={} version={} queued_ms={} cause=\"{}\" at={} \
         at_news_age_ms={} servers={} usable={} heard={} holders={}",
        request.id,
        key.map_or("-", |key| key.adapter.as_str()),
        request.demand.min_version,
        request.queued_ms,
        cause.as_str(),
        at.map_or("-", ServerId::as_str),
        Shown(at.and_then(|at| fleet.server(at)).and_then(|server| server.update_age_ms(now))),
        service().count(),
        service().filter(|server| server.is_usable(now)).count(),
        service().filter(|server| server.fresh_update(now).is_some()).count(),
        holders.count(),
    );
}

/// Notes how a request ended.
pub(super) fn note_end(
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
    // Failures have a kind of event of their own, so that a surge of answers can't crowd them out.
    let event = if outcome.is_good() { "request-ended" } else { "request-failed" };
    log::info!(
        "event={event} id={} route={} kind={kind} service={} server={} sends={} queued_ms={} \
         first_ms={} gap_ms={} took_ms={} outcome=\"{}\"",
        request.id,
        request.route.name,
        request.service,
        server.map_or("-", ServerId::as_str),
        request.sends,
        request.queued_ms,
        Shown(request.first_ms),
        request.gap_ms,
        now.ms_since(request.arrived),
        outcome.as_str(),
    );
    let tags =
        [("route", request.route.name.as_str()), ("kind", kind), ("outcome", outcome.word())];
    metrics.count(Metric::Requests, &tags);
    if let Outcome::Refused(refusal) = outcome {
        metrics.count(Metric::Refusals, &[("reason", refusal.reason())]);
    }
    if let Some(first_ms) = request.first_ms {
        metrics.sample(Metric::TimeToFirstEvent, first_ms);
        metrics.sample(Metric::LongestEventGap, request.gap_ms);
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Outcome {
    /// A backend server's answer was passed on whole.
    Answered,
    /// A stream was passed on to its end.
    Streamed,
    /// A stream broke off at its backend server.
    Broken,
    /// A stream fell silent at its backend server.
    Silent,
    /// The caller left.
    Left,
    /// The time was over.
    Late,
    /// The entry answered by itself.
    Refused(Refusal),
}

impl Outcome {
    fn is_good(self) -> bool {
        matches!(self, Self::Answered | Self::Streamed)
    }

    /// Returns the text of logs.
    fn as_str(self) -> &'static str {
        match self {
            Self::Refused(refusal) => refusal.reason(),
            other => other.word(),
        }
    }

    /// Returns the word of metrics.
    fn word(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Streamed => "streamed",
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::Left => "left",
            Self::Late => "late",
            Self::Refused(_) => "refused",
        }
    }
}

/// A number that may be missing.
struct Shown(Option<u64>);

impl fmt::Display for Shown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(number) => write!(f, "{number}"),
            None => f.write_str("-"),
        }
    }
}
