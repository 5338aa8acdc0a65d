//! What callers ask for, and what it is resolved to.

use bytes::Bytes;
use filbertcleat_base::AdapterRef;
use filbertcleat_base::ConfigVersion;
use filbertcleat_base::MonoTime;
use filbertcleat_base::ServiceName;

/// What a caller asks for.
#[derive(Clone, Debug)]
pub(crate) enum Work {
    /// A completion by an adapter.
    Completion { model: String, chat: bool, body: Bytes },
    /// A call of a plain service.
    Service { service: String, method: String, path: String, content_type: String, body: Bytes },
}

/// What a request runs on, by the configuration in force when it came.
#[derive(Clone, Debug)]
pub(crate) struct Resolved {
    pub service: ServiceName,
    pub adapter: Option<AdapterRef>,
    pub config_version: ConfigVersion,
    pub arrived: MonoTime,
}
