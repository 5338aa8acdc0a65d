//! Settings of an entry's endpoint for operators, and sources of tokens.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;
use serde::Serialize;

/// The HTTP endpoint of an entry for operators.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct OperatorSettings {
    /// The address that the entry listens on.
    pub listen: SocketAddr,
    /// The token that authenticates operators.
    pub token: TokenSource,
}

/// The source from which a token is read at startup.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TokenSource {
    /// A file that contains the token.
    File(PathBuf),
    /// An environment variable that contains the token.
    Env(String),
}
