//! Membership settings.

/// The settings of the gossip membership.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The mean interval between exchanges.
    pub gossip_interval_ms: u64,
    /// How long a process stays suspected before it counts as gone.
    pub suspicion_timeout_ms: u64,
    /// The maximum total size of the records in one message, unless the message carries all.
    pub message_max_bytes: usize,
    /// The number of peers to which an urgent change is sent immediately.
    pub fanout: usize,
    /// The interval between exchanges of all records.
    pub full_sync_interval_ms: u64,
    /// The seed of the random number generator.
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
