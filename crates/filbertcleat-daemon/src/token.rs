//! Bearer tokens of processes and operators.

use std::fmt;

use filbertcleat_config::TokenSource;
use subtle::ConstantTimeEq;
use thiserror::Error;

/// A bearer token, which is compared in constant time and never printed.
#[derive(Clone)]
pub(crate) struct Token {
    text: String,
}

impl Token {
    /// The shortest valid token.
    const MIN_LEN_BYTES: usize = 8;

    /// Reads a token from a file or an environment variable.
    pub fn load(source: &TokenSource) -> Result<Self, TokenError> {
        let (text, source) = match source {
            TokenSource::File(path) => {
                let source = path.display().to_string();
                let text = std::fs::read_to_string(path);
                (text.map_err(|error| TokenError::new(&source, error))?, source)
            }
            TokenSource::Env(name) => {
                let text = std::env::var(name);
                (text.map_err(|error| TokenError::new(name, error))?, name.clone())
            }
        };
        let text = text.trim().to_owned();
        if text.len() < Self::MIN_LEN_BYTES {
            return Err(TokenError::new(&source, "token has fewer than 8 bytes"));
        }
        Ok(Self { text })
    }

    /// Returns the value of the authorization header that presents this token.
    pub fn header(&self) -> String {
        format!("Bearer {}", self.text)
    }

    /// Returns whether an authorization header presents this token.
    pub fn matches(&self, header: Option<&str>) -> bool {
        let presented = header.and_then(|header| header.strip_prefix("Bearer ")).unwrap_or("");
        presented.as_bytes().ct_eq(self.text.as_bytes()).into()
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}

/// The reason why a token can't be used.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("token from {source_name:?} can't be used: {reason}")]
pub struct TokenError {
    /// The path of the file, or the name of the environment variable.
    source_name: String,
    reason: String,
}

impl TokenError {
    fn new(source_name: &str, reason: impl fmt::Display) -> Self {
        Self { source_name: source_name.to_owned(), reason: reason.to_string() }
    }
}
