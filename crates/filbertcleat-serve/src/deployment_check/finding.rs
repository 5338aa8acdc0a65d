//! Something that is wrong with a configuration.

use super::Place;

/// Something that is wrong with a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// The item that it concerns.
    pub place: Place,
    /// What is wrong.
    pub problem: String,
    /// The effect, or what to do about it.
    pub hint: &'static str,
}

impl Finding {
    /// Creates a finding of something that cannot work as it is written.
    pub fn error(place: Place, problem: impl Into<String>, hint: &'static str) -> Self {
        Self { severity: Severity::Error, place, problem: problem.into(), hint }
    }

    /// Creates a finding of something that works, though probably not as intended.
    pub fn warning(place: Place, problem: impl Into<String>, hint: &'static str) -> Self {
        Self { severity: Severity::Warning, place, problem: problem.into(), hint }
    }
}

/// How serious a finding is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// The item cannot work as it is written.
    Error,
    /// The item works, though probably not as intended.
    Warning,
}

impl Severity {
    /// Returns the text of the output.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warning => "warning",
        }
    }
}
