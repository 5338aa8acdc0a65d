//! A request as it was sent to a start of a backend server.

use std::net::SocketAddr;
use std::rc::Rc;

use filbertcleat_base::MonoTime;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::ServiceSpec;
use http::StatusCode;

use super::liveness::Liveness;
use crate::ResponseMetadata;
use crate::ServerIdentity;

/// A request as it was sent to a start of a backend server.
#[derive(Clone, Debug)]
pub(super) struct SentRequest {
    /// The id of the caller's request.
    pub request: String,
    pub server: ServerId,
    pub address: SocketAddr,
    /// The Unix time of the start in milliseconds; 0 if unknown.
    pub started_unix_ms: u64,
    /// The deadline that the backend server was told, in whole milliseconds from the time of sending.
    /// It stops work then, or later by the time that the request took to arrive.
    pub deadline: MonoTime,
    /// The service, by the configuration in force when the request was sent. The one in force at the
    /// end of the response may lack it.
    pub service: Option<Rc<ServiceSpec>>,
}

impl SentRequest {
    /// Returns what an answer from the address tells of this start.
    pub fn judge(
        &self,
        status: StatusCode,
        metadata: &ResponseMetadata,
        identity: &ServerIdentity,
    ) -> Liveness {
        let knows_starts = self.started_unix_ms > 0 && identity.started_unix_ms > 0;
        let is_other_start = knows_starts && self.started_unix_ms != identity.started_unix_ms;
        match &identity.server {
            Some(server) if *server != self.server || is_other_start => Liveness::Replaced,
            None if is_other_start || status == StatusCode::MISDIRECTED_REQUEST => {
                Liveness::Replaced
            }
            // The request names the server, so that any other one would call it misdirected.
            Some(_) | None if knows_starts => Liveness::Alive,
            // A later start under the same id answers like this too, and the report tells it apart.
            Some(_) | None if self.is_start_reported() => Liveness::Unknown,
            Some(_) => Liveness::Alive,
            None if metadata.is_not_run && is_turned_away(status) => Liveness::Alive,
            None => Liveness::Unknown,
        }
    }

    /// Returns whether the server has a report, which names its start as its record does.
    fn is_start_reported(&self) -> bool {
        let has_report = self.service.as_ref().is_some_and(|service| service.engine.is_some());
        has_report && self.started_unix_ms > 0
    }
}

/// Returns whether a server for which a request is meant turns it away with this status.
fn is_turned_away(status: StatusCode) -> bool {
    matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
}
