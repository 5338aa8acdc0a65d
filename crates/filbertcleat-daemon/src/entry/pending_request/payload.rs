//! The payload of a caller's request, and the service and adapter that it resolves to.

use bytes::Bytes;
use filbertcleat_base::AdapterRef;
use filbertcleat_base::ConfigVersion;
use filbertcleat_base::MonoTime;
use filbertcleat_base::ServiceName;

/// The payload of a caller's request.
#[derive(Clone, Debug)]
pub(crate) enum RequestPayload {
    /// A completion; `model` names an adapter.
    Completion { model: String, chat: bool, body: Bytes },
    /// A call to a plain service.
    Service { service: String, method: String, path: String, content_type: String, body: Bytes },
}

/// The service and adapter of a request, by the configuration in force at its arrival.
#[derive(Clone, Debug)]
pub(crate) struct ResolvedTarget {
    pub service: ServiceName,
    pub adapter: Option<AdapterRef>,
    pub config_version: ConfigVersion,
    pub arrived_at: MonoTime,
}
