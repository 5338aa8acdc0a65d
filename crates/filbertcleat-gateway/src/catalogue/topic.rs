//! What a reader of the catalogue follows.

/// What a reader follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Topic {
    /// What operators write.
    Operators,
    /// What backend servers write.
    Servers,
}

impl Topic {
    /// Returns the word used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Servers => "servers",
        }
    }
}
