//! The row of the catalogue that keeps the targets of routes.

/// The row of the catalogue that keeps the targets of resumable routes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RouteRow {
    /// The version that a write has to name; 0 if there is no row.
    pub version: u64,
    /// The routes; `None` if there is no row, or it can't be read.
    pub routes: Option<Vec<KeptRoute>>,
}

/// What entries have seen of the routes from a host and a path prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeptRoute {
    /// The host, in lower case.
    pub host: String,
    /// The path prefix.
    pub path_prefix: String,
    /// The hash of the targets; `None` if there is no such route any more.
    pub targets: Option<u64>,
    /// The time in milliseconds since the targets changed, if that was of late.
    pub moved_age_ms: Option<u64>,
}
