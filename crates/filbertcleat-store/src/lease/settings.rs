//! The settings of a lease.

use filbertcleat_base::NodeName;

/// The settings of a lease.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseSettings {
    /// The row's key.
    pub key: String,
    /// The holder's name, different for each start of a process.
    pub holder: NodeName,
    /// How long the lease lasts after each write.
    pub lease_ms: u64,
    /// How long before its end the holder stops.
    pub margin_ms: u64,
    /// The longest time that an order may travel to the backend server.
    pub max_transit_ms: u64,
    /// The pause after a failed operation.
    pub retry_ms: u64,
    /// Whether the lease may be taken from a living holder, since the backend server refuses
    /// orders with an old number.
    pub allows_preemption: bool,
}

impl LeaseSettings {
    /// Creates settings with the usual times.
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

    /// Sets whether the lease may be taken from a living holder.
    pub fn with_preemption(mut self, allows_preemption: bool) -> Self {
        self.allows_preemption = allows_preemption;
        self
    }

    /// Sets how long the lease lasts, and how long before its end the holder stops.
    pub fn with_lease_ms(mut self, lease_ms: u64, margin_ms: u64) -> Self {
        self.lease_ms = lease_ms;
        self.margin_ms = margin_ms;
        self
    }
}
