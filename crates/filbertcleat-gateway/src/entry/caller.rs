//! A caller's request.

use bytes::Bytes;
use filbertcleat_base::MonoTime;
use filbertcleat_base::ServiceName;
use filbertcleat_serve::RequestDemand;
use filbertcleat_serve::Route;
use filbertcleat_serve::ServerId;
use http::HeaderMap;
use http::Method;
use http::Uri;

use crate::RequestMetadata;

/// A caller's request that has been read and has a route.
#[derive(Debug)]
pub(super) struct CallerRequest {
    pub id: String,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub facts: RequestMetadata,
    pub route: Route,
    pub service: ServiceName,
    pub is_engine: bool,
    pub demand: RequestDemand,
    pub arrived: MonoTime,
    /// When the caller or the route's timeout ends it.
    pub deadline: MonoTime,
    /// The time that it waited for a backend server.
    pub queued_ms: u64,
    /// The time until the first byte of its answer's body.
    pub first_ms: Option<u64>,
    /// The longest pause within its answer.
    pub gap_ms: u64,
    /// How often it was sent to a backend server.
    pub sends: u32,
    /// The backend servers that it was sent to in vain.
    pub avoided: Vec<ServerId>,
}

impl CallerRequest {
    /// Returns the time that is left.
    pub fn left_ms(&self, now: MonoTime) -> u64 {
        self.deadline.ms_since(now)
    }
}
