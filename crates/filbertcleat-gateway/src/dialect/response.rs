//! Metadata from the headers of a backend server's response.

use filbertcleat_serve::ServerId;

use crate::ServerNotice;

/// Metadata from the headers of a backend server's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// The id of the request that the response answers.
    pub id: Option<String>,
    /// Whether the response carries a backend server's response seal.
    pub is_sealed: bool,
    /// Whether the backend server states that it did not run the request.
    pub is_not_run: bool,
    /// The incarnation of the backend server that responded, if given.
    pub server: Option<ServerId>,
    /// Whether the body has a content encoding. Backend servers never encode bodies, so such a
    /// response comes from something else.
    pub is_encoded: bool,
    /// What the backend server announces about itself.
    pub notice: ServerNotice,
}
