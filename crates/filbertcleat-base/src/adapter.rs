//! References to a version of an adapter.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use thiserror::Error;

use crate::AdapterName;
use crate::AdapterVersion;

/// A specific version of an adapter, written `name@version`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AdapterRef {
    /// The adapter's name.
    pub name: AdapterName,
    /// The adapter's version.
    pub version: AdapterVersion,
}

impl AdapterRef {
    /// Creates a reference to a version of an adapter.
    pub fn new(name: AdapterName, version: AdapterVersion) -> Self {
        Self { name, version }
    }

    /// Returns a hash that is equal in every process.
    pub fn stable_hash(&self) -> u64 {
        crate::mix_hashes(crate::stable_hash(self.name.as_str()), u64::from(self.version.value()))
    }
}

impl fmt::Display for AdapterRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.version)
    }
}

impl FromStr for AdapterRef {
    type Err = ParseAdapterRefError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseAdapterRefError { text: text.to_owned() };
        let (name, version) = text.rsplit_once('@').ok_or_else(error)?;
        let version = version.parse().ok().ok_or_else(error)?;

        if name.is_empty() {
            return Err(error());
        }

        Ok(Self::new(name.into(), AdapterVersion::new(version)))
    }
}

impl Serialize for AdapterRef {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for AdapterRef {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// The error for a string that is not of the form `name@version`.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{text:?} is not an adapter version: write it as name@number")]
pub struct ParseAdapterRefError {
    text: String,
}
