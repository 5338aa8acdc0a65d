//! The answer of a backend server that was asked who it is.

use std::net::SocketAddr;

use filbertcleat_serve::RequestHash;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Limited;

use super::backend_body::BackendBody;
use super::backend_body::BodyKind;
use super::backend_connection::BackendConnection;
use super::request_body::RequestBody;
use crate::Dialect;
use crate::ResponseMetadata;
use crate::ServerIdentity;

/// The answer of a backend server that was asked who it is.
pub(super) struct IdentityAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub metadata: ResponseMetadata,
    pub identity: ServerIdentity,
}

/// The largest answer: tens of thousands of adapter names in a report.
const ANSWER_MAX_BYTES: usize = 1024 * 1024;

/// Asks on a connection who the backend server is, and returns its answer, if there is one.
pub(super) async fn ask_identity<D: Dialect>(
    dialect: &D,
    connection: &mut BackendConnection,
    address: SocketAddr,
    request: &Request<()>,
) -> Option<IdentityAnswer> {
    let mut request = request.clone().map(|()| RequestBody::default());
    let host = HeaderValue::try_from(address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    // No caller's request has this hash, and the answer names no request.
    let sent = connection.try_send(RequestHash::of("identity"), request).await;
    let (head, body) = sent.ok()?.into_parts();
    let body = BackendBody::new(body, connection.allowance().clone(), BodyKind::Whole);
    // The head may name the server also if its body is cut off.
    let read = Limited::new(body, ANSWER_MAX_BYTES).collect().await;
    let body = read.map(http_body_util::Collected::to_bytes).unwrap_or_default();
    let metadata = dialect.parse_response(&head.headers);
    let identity = dialect.parse_identity(&head.headers, &body);
    Some(IdentityAnswer { status: head.status, headers: head.headers, metadata, identity })
}
