//! The head of an answer.

use http::Response;
use hyper::body::Incoming;

use super::backend_connection::BackendConnection;
use crate::ResponseMetadata;

/// The head of an answer, with the connection that the body arrives on.
pub(super) struct Answer {
    pub response: Response<Incoming>,
    pub metadata: ResponseMetadata,
    /// Whether the backend server asks for a pause.
    pub requests_pause: bool,
    pub connection: BackendConnection,
}
