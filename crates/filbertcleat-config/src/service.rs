//! Service configuration.

mod raw;

use filbertcleat_base::ModelName;
use serde::Deserialize;
use serde::Serialize;

use self::raw::RawEntry;

/// The configuration of a service: a set of interchangeable backend servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(into = "RawEntry", try_from = "RawEntry")]
pub struct ServiceConfig {
    /// The kind of the service's backend servers.
    pub kind: ServiceKind,
    /// Path prefixes of calls that must not be retried after an unknown outcome.
    pub non_retryable: Vec<String>,
}

impl ServiceConfig {
    /// Returns whether a call may be retried after an unknown outcome.
    ///
    /// Calls with a safe HTTP method are always retryable.
    pub fn is_retryable(&self, method: &str, path: &str) -> bool {
        let safe = matches!(method, "GET" | "HEAD" | "OPTIONS");
        let listed = self.non_retryable.iter().any(|prefix| path.starts_with(prefix.as_str()));
        safe || !listed
    }
}

/// The kind of a service's backend servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServiceKind {
    /// Model engines that run a base model.
    Engine(ModelName),
    /// Plain HTTP services.
    Plain,
}
