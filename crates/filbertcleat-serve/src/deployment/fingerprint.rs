//! A hash of the content of a configuration.

use std::fmt;
use std::fmt::Write;
use std::hash::DefaultHasher;
use std::hash::Hasher;

/// Hashes the text that is written to it, without keeping it.
#[derive(Debug, Default)]
pub(super) struct FingerprintWriter {
    hasher: DefaultHasher,
}

impl FingerprintWriter {
    /// Returns the hash of what was written.
    pub fn finish(&self) -> u64 {
        self.hasher.finish()
    }
}

impl Write for FingerprintWriter {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.hasher.write(text.as_bytes());
        Ok(())
    }
}
