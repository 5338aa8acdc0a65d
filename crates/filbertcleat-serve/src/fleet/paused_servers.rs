//! The backend servers that have asked for a pause.

use std::collections::BTreeMap;

use filbertcleat_base::MonoTime;

use crate::ServerId;

/// The backend servers that have asked for a pause, with its end.
///
/// A pause does not depend on the server's catalogue record, which may be missing for a while.
#[derive(Clone, Debug, Default)]
pub(super) struct PausedServers {
    until: BTreeMap<ServerId, MonoTime>,
}

impl PausedServers {
    /// Records a pause. One that is already in force is never shortened.
    pub fn record(&mut self, now: MonoTime, id: &ServerId, pause_ms: u64) {
        self.until.retain(|_, until| *until > now);
        let until = self.until.entry(id.clone()).or_insert(now);
        *until = now.plus_ms(pause_ms).max(*until);
    }

    /// Returns when the server's last known pause ends.
    pub fn until(&self, id: &ServerId) -> MonoTime {
        self.until.get(id).copied().unwrap_or(MonoTime::ZERO)
    }
}
