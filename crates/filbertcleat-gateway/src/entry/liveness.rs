//! Asks whether the process that sent a response still runs.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use tokio::time::Instant;

use super::identity_answer::ask_identity;
use super::sent_request::SentRequest;
use super::state::Entry;
use crate::Dialect;
use crate::metrics::Metric;

/// The pause before the second question; each further one is several times as long, since a busy
/// backend server may reset connections for a while.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// By how much each pause exceeds the one before.
const PAUSE_FACTOR: u32 = 3;

/// Whether the process that sent a response still runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Liveness {
    /// The same start of the backend server has answered.
    Alive,
    /// Nothing accepts connections at the address.
    Ended,
    /// Another backend server, or another start of it, has answered.
    Replaced,
    /// The deadline had passed before the end was seen, at which the server closes the connection
    /// in order and lives on.
    Stopped,
    /// Nobody has answered.
    Unknown,
}

impl Liveness {
    /// Returns the tag value for metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Ended => "ended",
            Self::Replaced => "replaced",
            Self::Stopped => "stopped",
            Self::Unknown => "unknown",
        }
    }

    /// Returns why a response that ended with its connection may be incomplete, or `None` if it is
    /// complete.
    pub fn broken_reason(self) -> Option<&'static str> {
        match self {
            Self::Alive => None,
            Self::Ended => Some("the connection ended with the server"),
            Self::Replaced => Some("the connection ended with an earlier start of the server"),
            Self::Stopped => Some("the connection ended after the deadline"),
            Self::Unknown => Some("the connection ended and the server does not answer"),
        }
    }
}

/// Asks whether the process that sent a response still runs, as soon as the end of its connection is
/// seen and at most until a time.
///
/// Each question has a connection of its own: on another one, a late answer from before the end
/// could be taken for the answer.
pub(super) async fn check_liveness<D: Dialect>(
    entry: Rc<Entry<D>>,
    sent: SentRequest,
    until: Instant,
) -> Liveness {
    let asked_at = entry.now();
    let liveness = if sent.deadline <= asked_at {
        Liveness::Stopped
    } else {
        let checked = tokio::time::timeout_at(until, ask_until_answered(&entry, &sent)).await;
        checked.unwrap_or(Liveness::Unknown)
    };
    let label = liveness.label();
    log::info!(
        "event=end-checked id={} server={} peer={} is={label} took_ms={}",
        sent.request,
        sent.server,
        sent.address,
        entry.now().ms_since(asked_at),
    );
    entry.metrics.count(Metric::EndChecks, &[("outcome", label)]);
    liveness
}

/// Asks until an answer tells whether the process runs, if it can be asked at all.
async fn ask_until_answered<D: Dialect>(entry: &Entry<D>, sent: &SentRequest) -> Liveness {
    let requests = sent
        .service
        .as_ref()
        .map_or_else(Vec::new, |service| entry.dialect.identity_requests(&sent.server, service));
    let mut pause = FIRST_PAUSE;
    for request in requests.iter().cycle() {
        match ask(entry, sent, request).await {
            Liveness::Unknown => {}
            known
            @ (Liveness::Alive | Liveness::Ended | Liveness::Replaced | Liveness::Stopped) => {
                return known;
            }
        }
        tokio::time::sleep(pause).await;
        pause *= PAUSE_FACTOR;
    }
    Liveness::Unknown
}

async fn ask<D: Dialect>(entry: &Entry<D>, sent: &SentRequest, request: &Request<()>) -> Liveness {
    let mut connection = match entry.pool.connect(sent.address).await {
        Ok(connection) => connection,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => return Liveness::Ended,
        Err(_other) => return Liveness::Unknown,
    };
    let answer = ask_identity(&entry.dialect, &mut connection, sent.address, request).await;
    let Some(answer) = answer else { return Liveness::Unknown };
    entry.pool.keep(sent.address, connection, &answer.headers);
    sent.judge(answer.status, &answer.metadata, &answer.identity)
}
