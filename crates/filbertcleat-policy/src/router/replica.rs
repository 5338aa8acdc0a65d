//! The state of a replica as an entry knows it.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::Class;
use filbertcleat_base::NodeName;

use super::Liveness;
use crate::ReplicaReport;

/// The last known state of a replica.
#[derive(Clone, Debug)]
pub(super) struct Replica {
    pub node: NodeName,
    pub node_hash: u64,
    pub liveness: Liveness,
    pub report: Option<ReplicaReport>,
    /// The number of requests sent to the replica since its last report.
    pub sent_since_report: u32,
}

impl Replica {
    /// The period after an eviction in which a request for the evicted adapter counts as a reload.
    const EVICTION_HORIZON_S: f64 = 45.0;
    /// The cost added to a suspect replica, so large that such a replica is chosen only if no other
    /// is usable.
    const SUSPECT_COST_MS: f64 = 1e6;

    /// Creates a live replica without a report.
    pub fn new(node: NodeName) -> Self {
        let node_hash = filbertcleat_base::stable_hash(node.as_str());
        Self { node, node_hash, liveness: Liveness::Live, report: None, sent_since_report: 0 }
    }

    /// Returns whether the replica has reported the adapter as loaded.
    pub fn holds(&self, adapter: &AdapterRef) -> bool {
        self.report.as_ref().is_some_and(|report| report.loaded_adapters.contains(adapter))
    }

    /// Returns whether the replica has reported the adapter as loading or awaited by queued
    /// requests.
    pub fn has_pending(&self, adapter: &AdapterRef) -> bool {
        self.report.as_ref().is_some_and(|report| report.pending_adapters.contains(adapter))
    }

    /// Returns whether the replica has no pending load and uses less than half of its batch, so
    /// that a further adapter copy displaces no other work.
    pub fn is_lightly_loaded(&self) -> bool {
        self.report.as_ref().is_none_or(|report| {
            report.pending_adapters.is_empty()
                && (report.running_in_share + report.queued_in_share) * 2 < report.batch_limit
        })
    }

    /// Returns the expected wait for a slot in the engine's batch.
    ///
    /// With `shares_backfill`, queued requests beyond their adapters' shares count as well.
    pub fn queue_wait_ms(&self, class: Class, shares_backfill: bool) -> f64 {
        let Some(report) = &self.report else {
            return 0.0;
        };
        let batch_limit = f64::from(report.batch_limit.max(1));
        let spacing_ms = f64::from(report.mean_call_ms) / batch_limit;
        let sent = f64::from(self.sent_since_report);
        let running = f64::from(report.running_in_share);

        let ahead = match class {
            Class::KeyAccount => f64::from(report.queued_key_account),
            Class::Routine => f64::from(report.queued_in_share),
        };
        let backfill = if shares_backfill { f64::from(report.queued_over_share) } else { 0.0 };
        (running + ahead + backfill + sent + 1.0 - batch_limit).max(0.0) * spacing_ms
    }

    /// Returns the reported mean load duration, or zero without a report.
    pub fn load_ms(&self) -> f64 {
        self.report.as_ref().map_or(0.0, |report| f64::from(report.mean_load_ms))
    }

    /// Returns the cost of taking a slot for a load: the expected reload of the evicted adapter, or
    /// the wait for a slot if none is spare.
    pub fn eviction_cost_ms(&self, class: Class, load_ms: f64) -> f64 {
        let Some(report) = &self.report else {
            return 0.0;
        };
        let pending = match class {
            Class::KeyAccount => report.pending_key_account_adapters as usize,
            Class::Routine => report.pending_adapters.len(),
        };
        let taken_slots = pending + self.sent_since_report as usize;
        let Some(rate_per_1000s) = report.spare_rates_per_1000s.get(taken_slots) else {
            let missing_slots = (taken_slots + 1 - report.spare_rates_per_1000s.len()) as f64;
            let slot_limit = f64::from(report.slot_limit.max(1));
            return load_ms + missing_slots * f64::from(report.mean_call_ms) / slot_limit;
        };
        (f64::from(*rate_per_1000s) / 1000.0 * Self::EVICTION_HORIZON_S).min(1.0) * load_ms
    }

    /// Returns the cost that the replica's liveness adds.
    pub fn liveness_cost_ms(&self) -> f64 {
        match self.liveness {
            Liveness::Live | Liveness::NotReady | Liveness::Gone => 0.0,
            Liveness::Suspect => Self::SUSPECT_COST_MS,
        }
    }
}
