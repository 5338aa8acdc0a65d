//! A caller's request and its measurements.

use std::rc::Rc;

use filbertcleat_base::MonoTime;
use filbertcleat_base::ServiceName;
use filbertcleat_serve::RequestDemand;
use filbertcleat_serve::Route;
use filbertcleat_serve::ServerId;
use filbertcleat_serve::Workspace;
use http::HeaderMap;
use http::Method;
use http::Uri;

use super::allowances::RequestCharge;
use super::request_body::RequestBody;
use crate::AttemptCaller;
use crate::RequestMetadata;

/// A caller's request that has been read and routed.
#[derive(Debug)]
pub(super) struct CallerRequest {
    pub id: String,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: RequestBody,
    pub metadata: RequestMetadata,
    pub route: Route,
    pub service: ServiceName,
    /// For whom the request is sent to backend servers.
    pub caller: AttemptCaller,
    /// The workspace that holds the request's API key.
    pub workspace: Option<Rc<Workspace>>,
    /// What the request has been charged, if its workspace has an allowance.
    pub charge: Option<RequestCharge>,
    /// Whether the service runs engines, so that its requests wait in the queue.
    pub uses_engine: bool,
    pub demand: RequestDemand,
    /// Whether the software version that began the stream is known and recorded.
    pub has_origin: bool,
    pub arrived_at: MonoTime,
    /// The earlier of the caller's deadline and the route's timeout.
    pub deadline: MonoTime,
    /// The time spent waiting for a backend server.
    pub queued_ms: u64,
    /// The time from arrival to the first byte of the response body.
    pub first_byte_ms: Option<u64>,
    /// The longest gap within the stream.
    pub longest_gap_ms: u64,
    /// The attempts that reached a backend server, and all attempts to resume a stream.
    pub attempts: u32,
    /// Whether an attempt may have run the request, one in progress included.
    pub may_have_run: bool,
    /// The backend servers of failed attempts, in order.
    pub avoided: Vec<ServerId>,
}

impl CallerRequest {
    /// Returns the time until the deadline.
    pub fn remaining_ms(&self, now: MonoTime) -> u64 {
        self.deadline.ms_since(now)
    }
}
