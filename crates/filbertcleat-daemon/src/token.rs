//! Tokens that processes and operators present.

use std::fmt;

use filbertcleat_config::TokenSource;
use subtle::ConstantTimeEq;
use thiserror::Error;

/// A secret that is compared in constant time and never shown.
#[derive(Clone)]
pub(crate) struct Token {
    text: String,
}

impl Token {
    /// The shortest token that is taken.
    const LENGTH_MIN: usize = 8;

    /// Reads a token from its source.
    pub fn load(source: &TokenSource) -> Result<Self, TokenError> {
        let (text, place) = match source {
            TokenSource::File(path) => {
                let place = path.display().to_string();
                let text = std::fs::read_to_string(path);
                (text.map_err(|error| TokenError::new(&place, error))?, place)
            }
            TokenSource::Env(name) => {
                let text = std::env::var(name);
                (text.map_err(|error| TokenError::new(name, error))?, name.clone())
            }
        };
        let text = text.trim().to_owned();
        if text.len() < Self::LENGTH_MIN {
            return Err(TokenError::new(&place, "token has fewer than 8 characters"));
        }
        Ok(Self { text })
    }

    /// Returns the value of the authorization header.
    pub fn header(&self) -> String {
        format!("Bearer {}", self.text)
    }

    /// Returns whether an authorization header presents this token.
    pub fn matches(&self, header: Option<&str>) -> bool {
        let given = header.and_then(|header| header.strip_prefix("Bearer ")).unwrap_or("");
        given.as_bytes().ct_eq(self.text.as_bytes()).into()
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}

/// A token that can't be read.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("token from {place:?} can't be used: {reason}")]
pub struct TokenError {
    place: String,
    reason: String,
}

impl TokenError {
    fn new(place: &str, reason: impl fmt::Display) -> Self {
        Self { place: place.to_owned(), reason: reason.to_string() }
    }
}
