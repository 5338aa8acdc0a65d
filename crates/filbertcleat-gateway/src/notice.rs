//! What a backend server announces about itself in the headers of an answer.

/// What a backend server announces about itself in the headers of an answer.
///
/// Any kind of answer may carry it, also a refusal and one that is of no use to the caller.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerNotice {
    /// Whether this start of the backend server is leaving and must get no new requests.
    pub is_leaving: bool,
}
