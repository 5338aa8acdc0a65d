//! Lease settings.

use filbertcleat_base::NodeName;

/// The settings of a lease.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseSettings {
    /// The row's key.
    pub key: String,
    /// The holder, a name that differs for each incarnation of a process.
    pub holder: NodeName,
    /// The duration of the lease after each write.
    pub lease_ms: u64,
    /// How long before the end of the lease the holder stops acting on it.
    pub margin_ms: u64,
    /// The maximum time that an order may spend in transit to the backend server.
    pub max_transit_ms: u64,
    /// The pause after a failed operation.
    pub retry_ms: u64,
    /// Whether the lease may be acquired while another holder is alive, which is safe if the
    /// backend server rejects orders with an outdated fencing token.
    pub allows_preemption: bool,
}

impl LeaseSettings {
    /// Creates settings with the default durations.
    pub fn new(key: impl Into<String>, holder: NodeName) -> Self {
        Self {
            key: key.into(),
            holder,
            lease_ms: 90_000,
            margin_ms: 5000,
            max_transit_ms: 1000,
            retry_ms: 1000,
            allows_preemption: false,
        }
    }

    /// Sets whether the lease may be acquired while another holder is alive.
    pub fn with_preemption(mut self, allows_preemption: bool) -> Self {
        self.allows_preemption = allows_preemption;
        self
    }

    /// Sets the duration of the lease, and how long before its end the holder stops acting on it.
    pub fn with_lease_ms(mut self, lease_ms: u64, margin_ms: u64) -> Self {
        self.lease_ms = lease_ms;
        self.margin_ms = margin_ms;
        self
    }
}
