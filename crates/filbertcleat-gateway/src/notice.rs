//! What a backend server announces about itself in the headers of an answer.

use filbertcleat_serve::NamedLimit;
use filbertcleat_serve::RequestedPause;
use http::StatusCode;

/// What a backend server announces about itself in the headers of an answer.
///
/// Any kind of answer may carry it, also a refusal and one that is of no use to the caller.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerNotice {
    /// Whether this start of the backend server is leaving and must get no new requests.
    pub is_leaving: bool,
    /// The pause that the backend server asks for.
    pub pause: Option<RequestedPause>,
    /// What the answer says about the limit on requests that the backend server has.
    pub limit: NamedLimit,
}

impl ServerNotice {
    /// Returns the notice of an answer with this status. A server asks for a pause only with the
    /// status that turns a request away; elsewhere the header concerns the caller.
    pub fn with_status(self, status: StatusCode) -> Self {
        match status {
            StatusCode::SERVICE_UNAVAILABLE => self,
            _ => Self { pause: None, ..self },
        }
    }
}
