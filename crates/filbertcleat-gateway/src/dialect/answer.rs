//! What a backend server's headers say.

use filbertcleat_serve::ServerId;

/// What a backend server's headers say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// The id of the attempt that it answers.
    pub id: Option<String>,
    /// Whether it bears a backend server's seal.
    pub is_sealed: bool,
    /// Whether the backend server says that it did not run the request.
    pub is_not_run: bool,
    /// The incarnation that answers, if it says so.
    pub server: Option<ServerId>,
    /// Whether the body is encoded, which no backend server's is.
    pub is_encoded: bool,
}
