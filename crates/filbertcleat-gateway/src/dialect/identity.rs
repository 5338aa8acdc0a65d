//! The identity that a backend server states.

use filbertcleat_serve::ServerId;

/// The identity that a backend server states.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServerIdentity {
    /// The incarnation of the backend server that answered, if given.
    pub server: Option<ServerId>,
    /// The Unix time of its start in milliseconds; 0 if unknown.
    pub started_unix_ms: u64,
}
