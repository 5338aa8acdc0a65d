//! How operators reach an entry, and where tokens come from.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;
use serde::Serialize;

/// How operators reach an entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OperatorSettings {
    /// The address that it listens on for operators.
    pub listen: SocketAddr,
    /// The token that operators present.
    pub token: TokenSource,
}

/// Where a token is read from at the start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TokenSource {
    /// A file that holds the token.
    File(PathBuf),
    /// An environment variable that holds the token.
    Env(String),
}
