//! An item of a configuration.

use filbertcleat_base::ServiceName;

/// An item of a configuration.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Place {
    /// The version.
    Version,
    /// The limits on callers.
    Limits,
    /// The route with this name.
    Route(String),
    /// The service with this name.
    Service(ServiceName),
    /// The workspace with this name, or its place in the list if it has none.
    Workspace(String),
    /// All workspaces together.
    Workspaces,
}

impl Place {
    /// Returns the kind of the item.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Version => "version",
            Self::Limits => "limits",
            Self::Route(_) => "route",
            Self::Service(_) => "service",
            Self::Workspace(_) => "workspace",
            Self::Workspaces => "workspaces",
        }
    }

    /// Returns the name of the item, or an empty text if there is only one of its kind.
    pub fn name(&self) -> &str {
        match self {
            Self::Version | Self::Limits | Self::Workspaces => "",
            Self::Route(name) | Self::Workspace(name) => name,
            Self::Service(name) => name.as_str(),
        }
    }
}
