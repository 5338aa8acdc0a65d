//! Drops that may still wait for runs at the engine.

use std::collections::BTreeMap;

use filbertcleat_base::MonoTime;

use super::report::EngineReport;
use crate::AdapterKey;

/// Drops that may still wait for runs at the engine, and the places that they keep.
///
/// A drop can be carried out without the agent's knowledge: late, after its answer was lost, or on the
/// word of the agent's process of before. A report need not name an adapter whose drop waits, so one
/// that vanishes keeps its place until nothing runs or for as long as runs may last.
#[derive(Debug, Default)]
pub(crate) struct Drops {
    waiting: BTreeMap<AdapterKey, WaitingDrop>,
    unknown: Option<UnknownDrops>,
}

/// A drop that waits for runs.
#[derive(Clone, Copy, Debug)]
struct WaitingDrop {
    since: MonoTime,
    /// Whether a report has named the adapter since, so that one that does not shows the end.
    was_named: bool,
}

/// Drops that may have been ordered before the first report of this engine.
#[derive(Clone, Copy, Debug)]
struct UnknownDrops {
    since: MonoTime,
    number: usize,
}

impl Drops {
    /// The time for which a drop that waits keeps its place: the longest time budget of a stream on
    /// the first deployments.
    const KEPT_MS: u64 = 30_000;

    /// Begins anew with the first report of an engine or of another start of it.
    ///
    /// Each adapter that is gone was loaded and dropped, so it took two of the orders.
    pub fn begin(&mut self, now: MonoTime, report: &EngineReport) {
        let present = (report.loaded_adapters.len() + report.loading_adapters.len()) as u64;
        let number = usize::try_from(report.order_count.saturating_sub(present) / 2);
        self.waiting.clear();
        self.unknown = Some(UnknownDrops { since: now, number: number.unwrap_or(usize::MAX) });
        self.forget_if_idle(report);
    }

    /// Notes that the engine accepted a drop that waits, or may have.
    pub fn wait(&mut self, now: MonoTime, key: &AdapterKey) {
        self.waiting.insert(key.clone(), WaitingDrop { since: now, was_named: false });
    }

    /// Takes in the report that follows what was believed.
    pub fn report(&mut self, now: MonoTime, believed: &EngineReport, report: &EngineReport) {
        for (key, _) in &believed.loaded_adapters {
            let is_model_held = report.loaded_models.contains(&key.model);
            if is_model_held && !is_present(report, key) && !self.waiting.contains_key(key) {
                self.wait(now, key);
            }
        }
        self.waiting.retain(|key, drop| {
            let is_named = is_present(report, key);
            let is_over = drop.was_named && !is_named;
            drop.was_named |= is_named;
            // The adapters of a model are gone once it is.
            !is_over && report.loaded_models.contains(&key.model)
        });
        self.forget_if_idle(report);
    }

    /// Forgets drops that have waited for longer than runs last, and unknown ones beyond what fits.
    ///
    /// Unknown drops can't be more than the places that seem free.
    pub fn retain(&mut self, now: MonoTime, seem_free: usize) {
        self.waiting.retain(|_, drop| now.ms_since(drop.since) <= Self::KEPT_MS);
        if let Some(unknown) = &mut self.unknown {
            unknown.number = unknown.number.min(seem_free);
        }
        self.unknown = self.unknown.filter(|unknown| now.ms_since(unknown.since) <= Self::KEPT_MS);
    }

    /// Returns whether a drop of the adapter may wait.
    pub fn contains(&self, key: &AdapterKey) -> bool {
        self.waiting.contains_key(key)
    }

    /// Returns the places that drops may keep beyond those of the adapters that the report names.
    pub fn hidden(&self, report: &EngineReport) -> usize {
        let waiting = self.waiting.keys().filter(|key| !is_present(report, key)).count();
        waiting + self.unknown.map_or(0, |unknown| unknown.number)
    }

    /// Forgets what only runs could hold up once nothing runs.
    fn forget_if_idle(&mut self, report: &EngineReport) {
        if report.running_requests == 0 && report.waiting_requests == 0 {
            self.waiting.retain(|key, _| is_present(report, key));
            self.unknown = None;
        }
    }
}

fn is_present(report: &EngineReport, key: &AdapterKey) -> bool {
    let mut present = report.loaded_adapters.iter().chain(&report.loading_adapters);
    present.any(|(named, _)| named == key)
}
