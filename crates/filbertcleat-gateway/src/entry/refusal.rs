//! Responses that the entry generates itself instead of forwarding one.

use std::time::Duration;

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::RETRY_AFTER;

use super::body::CallerBody;

/// `Retry-After` while no configuration or no backend server is known: about the time that the
/// entry needs to learn of a new one.
pub(super) const RETRY_AFTER_UNAVAILABLE: Duration = Duration::from_millis(700);
/// `Retry-After` after backend servers had no free capacity: some of their requests end in that
/// time.
pub(super) const RETRY_AFTER_FULL: Duration = Duration::from_millis(300);
/// `Retry-After` for a request that another entry can take at once: about the network latency.
pub(super) const RETRY_AFTER_OTHER_ENTRY: Duration = Duration::from_millis(20);
/// The refusal of a request that has no answer when the process is about to exit.
pub(super) const EXITING: Refusal =
    Refusal::NotRun("the entry is about to exit", RETRY_AFTER_OTHER_ENTRY);

/// The reason why the entry answers a request itself.
///
/// The texts are served to callers, and are tag values of a metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Refusal {
    /// The request is malformed or incomplete.
    BadRequest(&'static str),
    /// The request needs an API key and has none that is valid.
    Unauthorized(&'static str),
    /// No route matches the request, or its route has no target service.
    NoRoute,
    /// The body exceeds the size limit of the configuration.
    BodyTooLarge,
    /// The workspace has used its allowance up; the request was not run and will not be. A retry
    /// after the given time finds tokens.
    AllowanceExceeded(Duration),
    /// The request was not run and will not be; the caller may retry it after the given time.
    NotRun(&'static str, Duration),
    /// The request may have run, and its response is lost.
    OutcomeUnknown(&'static str),
    /// The deadline of the request has passed.
    DeadlineExceeded(&'static str),
}

impl Refusal {
    /// Turns "not run" into "outcome unknown" if an earlier attempt of the request may have run.
    pub fn after_attempts(self, may_have_run: bool) -> Self {
        match self {
            Self::NotRun(reason, _) if may_have_run => Self::OutcomeUnknown(reason),
            other => other,
        }
    }

    /// Returns the HTTP status.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest(_) => StatusCode::BAD_REQUEST,
            Self::Unauthorized(_) => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::AllowanceExceeded(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::NotRun(..) => StatusCode::SERVICE_UNAVAILABLE,
            Self::OutcomeUnknown(_) => StatusCode::BAD_GATEWAY,
            Self::DeadlineExceeded(_) => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the reason for logs, metrics and callers.
    pub fn reason(self) -> &'static str {
        match self {
            Self::NoRoute => "no route",
            Self::BodyTooLarge => "the body is too large",
            Self::AllowanceExceeded(_) => "the workspace has used its allowance up",
            Self::BadRequest(reason)
            | Self::Unauthorized(reason)
            | Self::OutcomeUnknown(reason)
            | Self::DeadlineExceeded(reason)
            | Self::NotRun(reason, _) => reason,
        }
    }

    /// Returns the response, with a `Retry-After` header if the request was not run.
    pub fn response(self) -> Response<CallerBody> {
        let mut response = Response::new(CallerBody::text(self.reason()));
        *response.status_mut() = self.status();
        if let Self::NotRun(_, retry_after) | Self::AllowanceExceeded(retry_after) = self {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::try_from(seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
