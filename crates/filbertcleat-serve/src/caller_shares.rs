//! The shares of a machine that its callers may take.

/// The bytes in a megabyte of a memory limit.
const MB_BYTES: u64 = 1_000_000;
/// Responses, the bodies of requests, and connections may each take this part of the memory. The
/// rest is for the routing state and the process itself.
const MEMORY_PARTS: u64 = 4;

/// The shares of a machine that callers may make a process hold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallerShares {
    /// The memory of each kind of thing in bytes, if that of the process is limited.
    pub memory_max_bytes: Option<u64>,
}

impl CallerShares {
    /// Returns the shares of a machine with a memory limit in MB.
    pub fn of(memory_max_mb: Option<u64>) -> Self {
        Self {
            memory_max_bytes: memory_max_mb.map(|mb| mb.saturating_mul(MB_BYTES) / MEMORY_PARTS),
        }
    }
}
