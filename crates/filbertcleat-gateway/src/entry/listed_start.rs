//! Checks that the listed start of a backend server is at the other end of a connection.

use std::rc::Rc;
use std::time::Duration;

use filbertcleat_serve::NamedLimit;
use http::StatusCode;

use super::backend_connection::BackendConnection;
use super::identity_answer::IdentityAnswer;
use super::identity_answer::ask_identity;
use super::notices::NoticeSource;
use super::notices::apply_notice;
use super::sent_request::SentRequest;
use super::state::Entry;
use crate::Dialect;
use crate::ServerNotice;
use crate::metrics::Metric;

/// What a connection shows of the start of its backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StartCheck {
    /// The listed start has answered on the connection, or one that does not name itself.
    Listed,
    /// Another start or another server has answered.
    Other,
    /// The connection gave no answer that tells.
    Untold,
    /// No answer came in time.
    Silent,
}

impl StartCheck {
    /// Returns the tag value for metrics and the word in logs.
    fn label(self) -> &'static str {
        match self {
            Self::Listed => "listed",
            Self::Other => "other",
            Self::Untold => "untold",
            Self::Silent => "silent",
        }
    }
}

/// Checks that the listed start of a backend server is at the other end of a connection, which it
/// stays for as long as the connection lasts.
///
/// A server that starts again under its id may have other software before its record shows it, and
/// no response names its start. The question goes on the connection itself, as any other may reach
/// the next start.
pub(super) async fn check_start<D: Dialect>(
    entry: &Rc<Entry<D>>,
    connection: &mut BackendConnection,
    server: &SentRequest,
    wait: Duration,
) -> StartCheck {
    if let Some(started_unix_ms) = connection.started_unix_ms() {
        let is_listed = started_unix_ms == server.started_unix_ms;
        return if is_listed { StartCheck::Listed } else { StartCheck::Untold };
    }
    let service = server.service.as_ref().filter(|service| service.engine.is_some());
    let Some(service) = service.filter(|_| server.started_unix_ms > 0) else {
        return StartCheck::Listed;
    };
    let questions = entry.dialect.identity_requests(&server.server, service);
    // The first one needs no slot.
    let Some(question) = questions.first() else { return StartCheck::Listed };
    let asked_at = entry.now();
    let asking = ask_identity(&entry.dialect, connection, server.address, question);
    let check = match tokio::time::timeout(wait, asking).await {
        Ok(Some(answer)) => {
            apply_answer_notice(entry, server, &answer);
            judge(server, &answer)
        }
        Ok(None) => StartCheck::Untold,
        Err(_elapsed) => StartCheck::Silent,
    };
    entry.metrics.count(Metric::StartChecks, &[("outcome", check.label())]);
    match check {
        StartCheck::Listed => connection.confirm_start(server.started_unix_ms),
        StartCheck::Other | StartCheck::Untold | StartCheck::Silent => log::info!(
            "event=start-checked id={} server={} peer={} is={} took_ms={}",
            server.request,
            server.server,
            server.address,
            check.label(),
            entry.now().ms_since(asked_at),
        ),
    }
    check
}

/// Returns what an answer tells of the listed start of a server.
fn judge(listed: &SentRequest, answer: &IdentityAnswer) -> StartCheck {
    let IdentityAnswer { status, metadata, identity, .. } = answer;
    let is_other_server = identity.server.as_ref().is_some_and(|server| *server != listed.server);
    let names_start = identity.started_unix_ms > 0;
    let is_other_start = names_start && identity.started_unix_ms != listed.started_unix_ms;
    if is_other_server || is_other_start || *status == StatusCode::MISDIRECTED_REQUEST {
        return StartCheck::Other;
    }
    // A late response to a caller's request tells nothing of the server.
    let is_report = status.is_success() && metadata.id.is_none();
    if names_start || is_report { StartCheck::Listed } else { StartCheck::Untold }
}

/// Applies what the server announces in an answer.
fn apply_answer_notice<D: Dialect>(
    entry: &Entry<D>,
    server: &SentRequest,
    answer: &IdentityAnswer,
) {
    let notice = answer.metadata.notice.with_status(answer.status);
    // Reports need not name the limit of requests.
    let limit = match notice.limit {
        NamedLimit::Absent => NamedLimit::Untold,
        named => named,
    };
    let answering = answer.identity.server.as_ref().unwrap_or(&server.server);
    let started_unix_ms = match answer.identity.started_unix_ms {
        0 => server.started_unix_ms,
        named => named,
    };
    let notice = ServerNotice { limit, ..notice };
    apply_notice(entry, answering, started_unix_ms, notice, NoticeSource::Answer);
}
