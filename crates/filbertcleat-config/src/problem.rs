//! Problems found in a settings file.

use std::fmt;
use std::path::PathBuf;

use thiserror::Error;

/// One problem with its place in the document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// The path in the document, such as `peers.seeds[0]`.
    pub path: String,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub hint: String,
}

impl Problem {
    /// Creates a problem.
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

/// All problems of one settings file.
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
