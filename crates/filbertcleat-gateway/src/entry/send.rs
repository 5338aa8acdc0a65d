//! Sending a request to one backend server.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filbertcleat_serve::SendOutcome;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http::header;
use http::response::Parts;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;

use super::caller::CallerRequest;
use super::open::OpenSend;
use super::state::Entry;
use crate::AttemptMetadata;
use crate::Dialect;

/// A backend server answers by itself when the time that it was given is over; it is given this
/// long for its answer to arrive, less than callers may be kept past the timeout.
pub(super) const ANSWER_LAG_MS: u64 = 150;

/// An answer that has begun.
pub(super) struct Answer {
    pub head: Parts,
    pub body: Incoming,
    pub address: SocketAddr,
    pub sender: SendRequest<Full<Bytes>>,
}

/// A send that brought no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct SendFailure {
    /// Whether the backend server may have run the request.
    pub may_have_run: bool,
    /// Whether the request reached the backend server at all.
    pub has_arrived: bool,
    /// What it says of the backend server.
    pub ending: SendOutcome,
    /// What was seen.
    pub reason: &'static str,
}

impl SendFailure {
    fn not_arrived(ending: SendOutcome, reason: &'static str) -> Self {
        Self { may_have_run: false, has_arrived: false, ending, reason }
    }

    fn not_run(ending: SendOutcome, reason: &'static str) -> Self {
        Self { may_have_run: false, has_arrived: true, ending, reason }
    }

    pub fn unknown(ending: SendOutcome, reason: &'static str) -> Self {
        Self { may_have_run: true, has_arrived: true, ending, reason }
    }
}

/// Sends a request and waits until its answer begins.
pub(super) async fn send<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &CallerRequest,
    open: &OpenSend<D>,
    resume_after: Option<u64>,
) -> Result<Answer, SendFailure> {
    let address = {
        let state = entry.state.borrow();
        let server = state.fleet.server(open.server());
        server.map(|server| server.listed.address)
    };
    let address = address
        .ok_or(SendFailure::not_arrived(SendOutcome::Unreachable, "it is no longer listed"))?;

    // A kept connection that turns out to be closed has not carried the request.
    for _ in 0..CONNECTIONS_TRIED {
        let taken = entry.pool.take(address).await;
        let mut sender = taken.map_err(|error| {
            log::debug!("event=connect-failed peer={address} reason=\"{error}\"");
            SendFailure::not_arrived(SendOutcome::Unreachable, "no connection could be made")
        })?;
        let now = entry.now();
        let left_ms = request.left_ms(now);
        if left_ms == 0 {
            return Err(SendFailure::not_arrived(SendOutcome::Left, "the time is over"));
        }
        let built = build(entry, request, open, left_ms, resume_after);
        let limit = Duration::from_millis(left_ms + ANSWER_LAG_MS);
        let sent = tokio::time::timeout(limit, sender.try_send_request(built)).await;
        match sent {
            Err(_elapsed) => {
                return Err(SendFailure::unknown(SendOutcome::Silent, "no answer in time"));
            }
            Ok(Err(mut error)) => {
                if error.take_message().is_some() {
                    continue;
                }
                return Err(SendFailure::unknown(SendOutcome::Broken, "the connection broke"));
            }
            Ok(Ok(response)) => {
                let (head, body) = response.into_parts();
                return judge(entry, request, open, head, body, address, sender);
            }
        }
    }
    Err(SendFailure::not_arrived(SendOutcome::Unreachable, "kept connections were closed"))
}

/// The connections tried before a backend server counts as unreachable.
const CONNECTIONS_TRIED: usize = 3;

/// Tells an answer from what is none.
fn judge<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &CallerRequest,
    open: &OpenSend<D>,
    head: Parts,
    body: Incoming,
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
) -> Result<Answer, SendFailure> {
    let facts = entry.dialect.parse_response(&head.headers);
    // An answer to an earlier request can still be on its way on a kept connection.
    let is_foreign = facts.id.as_ref().is_some_and(|id| *id != request.id);
    if is_foreign {
        return Err(SendFailure::unknown(SendOutcome::Broken, "the answer is another request's"));
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        let is_other = facts.server.as_ref().is_some_and(|server| server != open.server());
        entry.pool.keep(address, sender, &head.headers);
        return Err(if is_other {
            SendFailure::not_run(SendOutcome::Misdirected, "another server has the address")
        } else {
            SendFailure::not_run(SendOutcome::Lacking, "it lacks the adapter or its version")
        });
    }
    if facts.is_not_run {
        entry.pool.keep(address, sender, &head.headers);
        return Err(SendFailure::not_run(SendOutcome::Full, "it had no room"));
    }
    let is_answer = facts.id.is_some() && !facts.is_encoded;
    if !is_answer || (head.status.is_success() && !facts.is_sealed) {
        return Err(SendFailure::unknown(SendOutcome::Broken, "the answer has no seal or id"));
    }
    Ok(Answer { head, body, address, sender })
}

fn build<D: Dialect>(
    entry: &Rc<Entry<D>>,
    request: &CallerRequest,
    open: &OpenSend<D>,
    left_ms: u64,
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let mut headers = request.headers.clone();
    strip_connection_headers(&mut headers);
    let facts = AttemptMetadata {
        deadline_ms: left_ms,
        server: open.server().clone(),
        priority: request.is_engine.then_some(request.route.priority),
        resume_after,
    };
    entry.dialect.write_attempt(&mut headers, &facts);
    let mut built = Request::new(Full::new(request.body.clone()));
    *built.method_mut() = request.method.clone();
    *built.uri_mut() = request.uri.clone();
    *built.headers_mut() = headers;
    built
}

/// Removes the headers that concern one connection only, and those that the body's frame sets.
pub(super) fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ] {
        headers.remove(name);
    }
    for name in ["keep-alive", "proxy-connection"] {
        headers.remove(name);
    }
}
