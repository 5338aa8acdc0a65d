//! Unload orders that the engine may still be executing.

use std::collections::BTreeMap;

use filbertcleat_base::MonoTime;

use super::report::EngineReport;
use crate::AdapterKey;

/// Unload orders that the engine may still be executing, and the adapter slots that they occupy.
///
/// The engine delays an unload while requests run on the adapter. An unload can be in progress
/// without this agent's knowledge: the engine executed it late, its answer was lost, or a previous
/// incarnation of the agent ordered it. Engines may omit such an adapter from their reports, so the
/// slot of an adapter that disappears from the reports stays reserved until the engine is idle or
/// the longest request must have ended.
#[derive(Debug, Default)]
pub(crate) struct PendingUnloads {
    pending: BTreeMap<AdapterKey, PendingUnload>,
    unknown: Option<UnknownUnloads>,
}

/// An accepted unload that waits for running requests.
#[derive(Clone, Copy, Debug)]
struct PendingUnload {
    since: MonoTime,
    /// Whether a report has contained the adapter since. If so, a report without the adapter shows
    /// that the unload is complete.
    was_reported: bool,
}

/// Unloads that may have been ordered before the first report of this engine incarnation.
#[derive(Clone, Copy, Debug)]
struct UnknownUnloads {
    since: MonoTime,
    count: usize,
}

impl PendingUnloads {
    /// The time after which a pending unload frees its slot: the longest timeout of a stream on the
    /// first deployments.
    const SLOT_RESERVED_MS: u64 = 30_000;

    /// Starts over with the first report of an engine incarnation.
    ///
    /// An adapter that is no longer present accounts for two accepted orders, its load and its
    /// unload, so the order count bounds the number of unknown unloads.
    pub fn reset(&mut self, now: MonoTime, report: &EngineReport) {
        let present = (report.loaded_adapters.len() + report.loading_adapters.len()) as u64;
        let count = usize::try_from(report.order_count.saturating_sub(present) / 2);
        self.pending.clear();
        self.unknown = Some(UnknownUnloads { since: now, count: count.unwrap_or(usize::MAX) });
        self.release_if_idle(report);
    }

    /// Adds an unload that the engine accepted, or may have accepted, and that waits for running
    /// requests.
    pub fn insert(&mut self, now: MonoTime, key: &AdapterKey) {
        self.pending.insert(key.clone(), PendingUnload { since: now, was_reported: false });
    }

    /// Applies a report, where `previous` is the state expected from earlier reports and orders.
    pub fn apply_report(&mut self, now: MonoTime, previous: &EngineReport, report: &EngineReport) {
        for (key, _) in &previous.loaded_adapters {
            let is_model_loaded = report.loaded_models.contains(&key.model);
            if is_model_loaded && !is_reported(report, key) && !self.pending.contains_key(key) {
                self.insert(now, key);
            }
        }
        self.pending.retain(|key, unload| {
            let is_reported = is_reported(report, key);
            let is_complete = unload.was_reported && !is_reported;
            unload.was_reported |= is_reported;
            // Unloading a base model also unloads its adapters.
            !is_complete && report.loaded_models.contains(&key.model)
        });
        self.release_if_idle(report);
    }

    /// Discards unloads that are older than the longest request, and limits the number of unknown
    /// unloads to `unreported_slots`, the slots that the last report leaves free.
    pub fn expire(&mut self, now: MonoTime, unreported_slots: usize) {
        self.pending.retain(|_, unload| now.ms_since(unload.since) <= Self::SLOT_RESERVED_MS);
        if let Some(unknown) = &mut self.unknown {
            unknown.count = unknown.count.min(unreported_slots);
        }
        self.unknown =
            self.unknown.filter(|unknown| now.ms_since(unknown.since) <= Self::SLOT_RESERVED_MS);
    }

    /// Returns whether an unload of the adapter may be in progress.
    pub fn contains(&self, key: &AdapterKey) -> bool {
        self.pending.contains_key(key)
    }

    /// Returns the number of slots that unloads may occupy beyond those of the reported adapters.
    pub fn unreported_slots(&self, report: &EngineReport) -> usize {
        let pending = self.pending.keys().filter(|key| !is_reported(report, key)).count();
        pending + self.unknown.map_or(0, |unknown| unknown.count)
    }

    /// Releases the slots of unreported adapters if the engine runs no requests, since only running
    /// requests can delay an unload.
    fn release_if_idle(&mut self, report: &EngineReport) {
        if report.running_requests == 0 && report.waiting_requests == 0 {
            self.pending.retain(|key, _| is_reported(report, key));
            self.unknown = None;
        }
    }
}

fn is_reported(report: &EngineReport, key: &AdapterKey) -> bool {
    let mut reported = report.loaded_adapters.iter().chain(&report.loading_adapters);
    reported.any(|(present, _)| present == key)
}
