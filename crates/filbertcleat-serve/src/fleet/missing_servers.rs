//! The backend servers whose records are missing after a loss of the catalogue.

use std::collections::BTreeMap;

use crate::ServerId;

/// The backend servers whose records are missing after a loss of the catalogue, and the writes of the
/// others since.
#[derive(Clone, Debug, Default)]
pub(super) struct MissingServers {
    /// The writes that the catalogue has shown, up to which the record of each was missing.
    missing: BTreeMap<ServerId, u64>,
    /// The number of the last write of each server.
    last_writes: BTreeMap<ServerId, u64>,
    writes: u64,
}

impl MissingServers {
    /// The share of the other servers whose writes show that a missing one could have written its
    /// record too. Servers that leave together count as others, and so do those that are still to
    /// come back.
    const WRITTEN_SHARE: f64 = 0.75;

    /// Returns whether no record is missing.
    pub fn is_empty(&self) -> bool {
        self.missing.is_empty()
    }

    /// Records that the record of a server was found missing.
    pub fn insert(&mut self, id: ServerId) {
        self.missing.entry(id).or_insert(self.writes);
    }

    /// Records that a server has written its record.
    pub fn on_written(&mut self, id: &ServerId) {
        self.writes += 1;
        self.last_writes.insert(id.clone(), self.writes);
    }

    /// Records that a server is listed, or known to be gone.
    pub fn remove(&mut self, id: &ServerId) {
        self.missing.remove(id);
    }

    /// Takes all servers.
    pub fn take(&mut self) -> Vec<ServerId> {
        let Self { missing, .. } = std::mem::take(self);
        missing.into_keys().collect()
    }

    /// Takes the servers that did not write their records although most of `others` other servers
    /// have done so since.
    pub fn take_outlived(&mut self, others: usize) -> Vec<ServerId> {
        if self.missing.is_empty() {
            return Vec::new();
        }
        let needed = (others as f64 * Self::WRITTEN_SHARE).max(1.0);
        let last_writes = &self.last_writes;
        let is_outlived = |after: u64| {
            let written = last_writes.values().filter(|write| **write > after).count();
            written as f64 >= needed
        };
        let outlived = self.missing.iter().filter(|(_, after)| is_outlived(**after));
        let outlived: Vec<ServerId> = outlived.map(|(id, _)| id.clone()).collect();
        self.missing.retain(|id, _| !outlived.contains(id));
        outlived
    }
}
