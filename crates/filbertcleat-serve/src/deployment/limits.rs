//! The limits on callers' requests and connections.

/// The limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The largest request head.
    pub header_max_bytes: usize,
    /// The largest request body.
    pub body_max_bytes: usize,
    /// The timeout for receiving a request head.
    pub header_timeout_ms: u64,
    /// The time after which an idle connection is closed.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration is known: common defaults of HTTP
    /// servers.
    fn default() -> Self {
        Self {
            header_max_bytes: 16_384,
            body_max_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
