//! One replica in an entry's view.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::Class;
use filbertcleat_base::NodeName;

use super::Liveness;
use crate::ReplicaReport;

/// What an entry knows of one replica.
#[derive(Clone, Debug)]
pub(super) struct Replica {
    pub node: NodeName,
    pub hash: u64,
    pub liveness: Liveness,
    pub report: Option<ReplicaReport>,
    pub sent_since_report: u32,
}

impl Replica {
    /// The horizon over which an evicted adapter's requests are counted.
    const EVICT_HORIZON_S: f64 = 45.0;
    /// The cost of a replica that has been silent, which leaves it as the last resort.
    const SLOW_MS: f64 = 1e6;

    pub fn new(node: NodeName) -> Self {
        let hash = filbertcleat_base::stable_hash(node.as_str());
        Self { node, hash, liveness: Liveness::Live, report: None, sent_since_report: 0 }
    }

    pub fn holds(&self, adapter: &AdapterRef) -> bool {
        self.report.as_ref().is_some_and(|report| report.loaded_adapters.contains(adapter))
    }

    pub fn wants(&self, adapter: &AdapterRef) -> bool {
        self.report.as_ref().is_some_and(|report| report.pending_adapters.contains(adapter))
    }

    /// Returns whether the replica has little to do, so that a further copy takes nothing away.
    pub fn is_quiet(&self) -> bool {
        self.report.as_ref().is_none_or(|report| {
            report.pending_adapters.is_empty()
                && (report.running_in_share + report.queued_in_share) * 2 < report.batch_limit
        })
    }

    /// Returns how long a request would wait for a place in the batch.
    ///
    /// With `shares_gaps` the requests that only fill gaps are ahead of it too.
    pub fn wait_ms(&self, class: Class, shares_gaps: bool) -> f64 {
        let Some(report) = &self.report else {
            return 0.0;
        };
        let batch = f64::from(report.batch_limit.max(1));
        let spacing_ms = f64::from(report.mean_call_ms) / batch;
        let sent = f64::from(self.sent_since_report);
        let running = f64::from(report.running_in_share);

        let ahead = match class {
            Class::KeyAccount => f64::from(report.queued_key_account),
            Class::Routine => f64::from(report.queued_in_share),
        };
        let filling = if shares_gaps { f64::from(report.queued_over_share) } else { 0.0 };
        (running + ahead + filling + sent + 1.0 - batch).max(0.0) * spacing_ms
    }

    pub fn load_ms(&self) -> f64 {
        self.report.as_ref().map_or(0.0, |report| f64::from(report.mean_load_ms))
    }

    /// Returns the cost of taking a slot: the loads that evicting will cause, or the wait for one.
    pub fn slot_cost_ms(&self, class: Class, load_ms: f64) -> f64 {
        let Some(report) = &self.report else {
            return 0.0;
        };
        let wanted = match class {
            Class::KeyAccount => report.pending_key_account_adapters as usize,
            Class::Routine => report.pending_adapters.len(),
        };
        let taken = wanted + self.sent_since_report as usize;
        let Some(value) = report.spare_rates_per_1000s.get(taken) else {
            let short = (taken + 1 - report.spare_rates_per_1000s.len()) as f64;
            let slots = f64::from(report.slot_limit.max(1));
            return load_ms + short * f64::from(report.mean_call_ms) / slots;
        };
        (f64::from(*value) / 1000.0 * Self::EVICT_HORIZON_S).min(1.0) * load_ms
    }

    pub fn liveness_cost_ms(&self) -> f64 {
        match self.liveness {
            Liveness::Live | Liveness::NotReady | Liveness::Gone => 0.0,
            Liveness::Suspect => Self::SLOW_MS,
        }
    }
}
