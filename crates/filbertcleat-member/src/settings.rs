//! The settings of the membership.

/// The settings of the membership.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The time between two exchanges.
    pub exchange_ms: u64,
    /// How long a silent process is suspected before it counts as gone.
    pub gone_ms: u64,
    /// The most bytes of records in one message, other than a full one.
    pub message_max_bytes: usize,
    /// The processes that urgent news is sent to at once.
    pub fanout: usize,
    /// The time between two exchanges of all records.
    pub full_every_ms: u64,
    /// The seed of the random numbers.
    pub seed: u64,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            exchange_ms: 500,
            gone_ms: 3000,
            message_max_bytes: 1000,
            fanout: 5,
            full_every_ms: 60_000,
            seed: 0,
        }
    }
}
