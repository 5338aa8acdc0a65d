//! The backend servers that left, whose records a restored catalogue may list again.

use std::collections::BTreeMap;
use std::mem;

use filbertcleat_base::MonoTime;

use super::Server;
use super::limit_state::LimitState;
use crate::ListedServer;
use crate::ServerId;

/// The backend servers that left, whose records a restored catalogue may list again.
#[derive(Clone, Debug, Default)]
pub(super) struct RemovedServers {
    removed: BTreeMap<ServerId, RemovedServer>,
    /// The records that the restored catalogue lists of servers that left before the restore.
    held_back: BTreeMap<ServerId, ListedServer>,
    restored_at: Option<MonoTime>,
}

/// A backend server that left.
#[derive(Clone, Copy, Debug)]
struct RemovedServer {
    started_unix_ms: u64,
    at: MonoTime,
    limits: LimitState,
}

impl RemovedServers {
    /// How long a record of the copy may stay although its server is gone. The catalogue removes
    /// the record of a silent server after three of its heartbeats, which are a few seconds apart
    /// at most.
    const LEFTOVER_MS: u64 = 15_000;
    /// How long a removed server is remembered. Copies are some seconds old, and the restore takes
    /// some more.
    const REMEMBERED_MS: u64 = 60_000;

    /// Records that the catalogue was restored from a copy.
    pub fn on_restored(&mut self, now: MonoTime) {
        self.restored_at = Some(now);
    }

    /// Returns whether the catalogue was restored recently, so that records may be those of the
    /// copy.
    pub fn may_list_leftovers(&self, now: MonoTime) -> bool {
        self.restored_at.is_some_and(|at| now.ms_since(at) < Self::LEFTOVER_MS)
    }

    /// Remembers that a server left.
    pub fn on_removed(&mut self, now: MonoTime, server: &Server) {
        self.removed.retain(|_, removed| now.ms_since(removed.at) < Self::REMEMBERED_MS);
        let Server { listed, limits, .. } = server;
        let started_unix_ms = listed.started_unix_ms;
        let removed = RemovedServer { started_unix_ms, at: now, limits: *limits };
        self.removed.insert(listed.id.clone(), removed);
    }

    /// Returns whether a server left recently, or whether its record is held back.
    pub fn is_known(&self, now: MonoTime, id: &ServerId) -> bool {
        let is_recent = |removed: &RemovedServer| now.ms_since(removed.at) < Self::REMEMBERED_MS;
        self.removed.get(id).is_some_and(is_recent) || self.held_back.contains_key(id)
    }

    /// Returns the limits that this start of a server had named when it was removed.
    pub fn limits_of(&self, id: &ServerId, started_unix_ms: u64) -> Option<LimitState> {
        let removed = self.removed.get(id);
        let same_start = removed.filter(|removed| removed.started_unix_ms == started_unix_ms);
        same_start.map(|removed| removed.limits)
    }

    /// Returns whether a listed record is that of a server that left before the restore, or of an
    /// earlier start of it.
    pub fn is_leftover(&self, now: MonoTime, listed: &ListedServer) -> bool {
        self.may_list_leftovers(now)
            && self.removed.get(&listed.id).is_some_and(|removed| {
                removed.started_unix_ms >= listed.started_unix_ms
                    && self.restored_at.is_some_and(|restored_at| removed.at < restored_at)
            })
    }

    /// Replaces the records that are held back.
    pub fn hold_back(&mut self, leftovers: Vec<ListedServer>) {
        self.held_back = leftovers.into_iter().map(|listed| (listed.id.clone(), listed)).collect();
    }

    /// Forgets a server, since it wrote its record again.
    pub fn forget(&mut self, id: &ServerId) {
        self.removed.remove(id);
        self.release(id);
    }

    /// Drops the record of a server that is held back, since the catalogue removed it.
    pub fn release(&mut self, id: &ServerId) {
        self.held_back.remove(id);
    }

    /// Takes the records that the catalogue has kept for longer than those of silent servers.
    pub fn take_lasting(&mut self, now: MonoTime) -> Vec<ListedServer> {
        if self.held_back.is_empty() || self.may_list_leftovers(now) {
            return Vec::new();
        }
        mem::take(&mut self.held_back).into_values().collect()
    }
}
