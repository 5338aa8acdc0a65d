//! Errors in settings files.

use std::fmt;
use std::path::PathBuf;

use thiserror::Error;

/// One problem in a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// The path of the key in the document, such as `peers.seeds[0]`.
    pub path: String,
    /// A description of the problem.
    pub message: String,
    /// How to fix the problem.
    pub hint: String,
}

impl Problem {
    /// Creates a problem with the key at `path`.
    pub fn new(
        path: impl Into<String>,
        message: impl Into<String>,
        hint: impl Into<String>,
    ) -> Self {
        Self { path: path.into(), message: message.into(), hint: hint.into() }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} (hint: {})", self.path, self.message, self.hint)
    }
}

/// The error for a settings file with problems.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub struct SettingsError {
    /// The settings file.
    pub file: PathBuf,
    /// The problems, at least one.
    pub problems: Vec<Problem>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{}: {problem}", self.file.display())?;
        }
        Ok(())
    }
}
