//! The topics of the catalogue.

/// A topic of the catalogue, which is listed and watched separately.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Topic {
    /// Configurations and adapter versions, which operators write.
    Operators,
    /// The list of backend servers, which they write themselves.
    Servers,
    /// What entries keep of what they have learned, which they write themselves.
    Facts,
    /// The software versions that began streams, which entries write themselves.
    Origins,
}

impl Topic {
    /// Returns the name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Servers => "servers",
            Self::Facts => "facts",
            Self::Origins => "origins",
        }
    }
}
