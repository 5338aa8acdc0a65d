//! What callers may send, and how long they may take.

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The largest head of a request.
    pub header_max_bytes: usize,
    /// The largest body of a request.
    pub body_max_bytes: usize,
    /// The time within which a head has to arrive.
    pub header_timeout_ms: u64,
    /// The time that a connection may stay idle.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    /// The limits until a configuration is known: common sizes of HTTP servers.
    fn default() -> Self {
        Self {
            header_max_bytes: 16_384,
            body_max_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
