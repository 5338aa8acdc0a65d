//! The settings of the membership.

/// The settings of the membership.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The time between two exchanges.
    pub gossip_interval_ms: u64,
    /// How long a silent process is suspected before it counts as gone.
    pub suspicion_timeout_ms: u64,
    /// The most bytes of records in one message, other than a full one.
    pub message_max_bytes: usize,
    /// The processes that urgent news is sent to at once.
    pub fanout: usize,
    /// The time between two exchanges of all records.
    pub full_sync_interval_ms: u64,
    /// The seed of the random numbers.
    pub seed: u64,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            gossip_interval_ms: 500,
            suspicion_timeout_ms: 3000,
            message_max_bytes: 1000,
            fanout: 5,
            full_sync_interval_ms: 60_000,
            seed: 0,
        }
    }
}
