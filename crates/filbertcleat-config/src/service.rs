//! Services in the configuration.

mod raw;

use filbertcleat_base::ModelName;
use serde::Deserialize;
use serde::Serialize;

use self::raw::RawEntry;

/// A service, which is a set of backend servers that answer alike.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(into = "RawEntry", try_from = "RawEntry")]
pub struct ServiceConfig {
    /// What kind of backend server stands behind it.
    pub kind: ServiceKind,
    /// Path prefixes whose calls may not be repeated.
    pub non_retryable: Vec<String>,
}

impl ServiceConfig {
    /// Returns whether a call may be repeated after an unknown outcome.
    pub fn is_retryable(&self, method: &str, path: &str) -> bool {
        let safe = matches!(method, "GET" | "HEAD" | "OPTIONS");
        let listed = self.non_retryable.iter().any(|prefix| path.starts_with(prefix.as_str()));
        safe || !listed
    }
}

/// The kinds of backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServiceKind {
    /// Model engines that hold a base model.
    Engine(ModelName),
    /// Plain HTTP services.
    Plain,
}
