//! The shares of a machine that its callers may take.

/// The bytes in a megabyte of a memory limit.
const MB_BYTES: u64 = 1_000_000;
/// Responses, the bodies of requests, and connections may each take this part of the memory. The
/// rest is for the routing state and the process itself.
const MEMORY_PARTS: u64 = 4;
/// What a connection takes beside the head of a request: its task and its write buffer.
const CONNECTION_BYTES: u64 = 24 * 1024;
/// The smallest buffer that the HTTP library reads a head into.
const HEAD_MIN_BYTES: usize = 8 * 1024;
/// The memory of connections holds at least this number of the largest heads.
const HEADS_MIN: u64 = 64;
/// The sockets that a process needs for itself: for the store, peers, checks and metrics.
const OWN_SOCKETS: usize = 64;
/// The number of equal parts that all other sockets are divided into.
const SOCKET_PARTS: usize = 16;
/// The parts for connections of callers. As many are left for their requests at backend servers.
const CALLER_SOCKET_PARTS: usize = 7;
/// The parts for idle connections to backend servers.
const IDLE_SOCKET_PARTS: usize = 2;

/// The shares of a machine that callers may make a process hold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallerShares {
    /// The memory of each kind of thing in bytes, if that of the process is limited.
    pub memory_max_bytes: Option<u64>,
    /// The connections of callers, if the sockets of the process are limited.
    pub caller_sockets_max: Option<usize>,
    /// The idle connections to backend servers, if the sockets of the process are limited.
    pub idle_sockets_max: Option<usize>,
}

impl CallerShares {
    /// What the kernel may receive on a connection while nothing is read of it.
    pub const RECEIVE_BUFFER_BYTES: usize = 24 * 1024;

    /// Returns the shares of a machine with limits on memory in MB and on sockets.
    pub fn of(memory_max_mb: Option<u64>, sockets_max: Option<usize>) -> Self {
        let part_of_sockets = |parts: usize| {
            let others = sockets_max.map(|sockets| sockets.saturating_sub(OWN_SOCKETS));
            others.map(|sockets| (sockets / SOCKET_PARTS * parts).max(1))
        };
        Self {
            memory_max_bytes: memory_max_mb.map(|mb| mb.saturating_mul(MB_BYTES) / MEMORY_PARTS),
            caller_sockets_max: part_of_sockets(CALLER_SOCKET_PARTS),
            idle_sockets_max: part_of_sockets(IDLE_SOCKET_PARTS),
        }
    }

    /// Returns the largest head that is read if callers may send `header_max_bytes`.
    pub fn head_max_bytes(&self, header_max_bytes: usize) -> usize {
        let by_memory = self.memory_max_bytes.map(|bytes| (bytes / HEADS_MIN) as usize);
        header_max_bytes.min(by_memory.unwrap_or(usize::MAX)).max(HEAD_MIN_BYTES)
    }

    /// Returns the most connections of callers whose requests have heads of up to
    /// `header_max_bytes`.
    pub fn connections_max(&self, header_max_bytes: usize) -> usize {
        let head_bytes = self.head_max_bytes(header_max_bytes) as u64;
        // The buffer of a head grows by doubling. A connection is read while it has no whole head.
        let unread_bytes = Self::RECEIVE_BUFFER_BYTES as u64;
        let arrived_bytes = (head_bytes / 2).saturating_mul(3).max(unread_bytes);
        let connection_bytes = CONNECTION_BYTES.saturating_add(arrived_bytes);
        let by_memory = self
            .memory_max_bytes
            .map_or(usize::MAX, |bytes| (bytes / connection_bytes).max(1) as usize);
        by_memory.min(self.caller_sockets_max.unwrap_or(usize::MAX))
    }
}
