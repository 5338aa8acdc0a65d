//! Limits how many adapters an engine loads at the same time.

use std::collections::BTreeMap;

use filbertcleat_base::MonoTime;

use super::report::EngineReport;
use crate::AdapterKey;

/// Limits how many adapters one engine loads at the same time, from how long its loads take.
///
/// The weight store is shared by all engines. Beyond a number of concurrent loads over all engines
/// each load takes proportionally longer, so that more loads at once bring no adapter sooner and
/// most of them later. No process sees all loads, but each agent sees its own loads take longer than
/// the fastest ones, and then starts fewer at once.
///
/// Load pattern: every engine is empty and every adapter is demanded, as after a loss of power.
#[derive(Debug)]
pub(super) struct LoadConcurrency {
    limit: f64,
    /// The duration of a load without contention.
    reference_ms: Option<f64>,
    /// The number of consecutive loads much shorter than the reference.
    short_loads: u32,
    started: BTreeMap<AdapterKey, MonoTime>,
}

impl LoadConcurrency {
    /// The limit of engines on concurrent adapter loads.
    const LIMIT_MAX: f64 = 4.0;
    /// The increase after a load without contention.
    const INCREASE: f64 = 0.25;
    /// The factor of the decrease after a load with contention.
    const DECREASE: f64 = 0.7;
    /// A load is slowed down by others if it takes this many times the reference.
    const CONTENTION: f64 = 1.5;
    /// A load below this part of the reference came from the engine's own copy of the adapter.
    const LOCAL_COPY: f64 = 0.4;
    /// The number of consecutive loads after which short ones show that the reference is too long.
    const SHORT_LOADS_MAX: u32 = 5;
    /// The weight of a longer load in the reference, which forgets an exceptionally short one.
    const REFERENCE_WEIGHT: f64 = 0.01;

    /// Records that the engine began to load an adapter.
    pub fn on_started(&mut self, now: MonoTime, key: &AdapterKey) {
        self.started.insert(key.clone(), now);
    }

    /// Applies a report, which shows the loads that have ended.
    pub fn apply_report(&mut self, now: MonoTime, report: &EngineReport) {
        let mut ended = Vec::new();
        self.started.retain(|key, since| {
            let is_loading = report.loading_adapters.iter().any(|(loading, _)| loading == key);
            let is_loaded = report.loaded_adapters.iter().any(|(loaded, _)| loaded == key);
            if !is_loading && is_loaded {
                ended.push(now.ms_since(*since) as f64);
            }
            is_loading
        });
        for duration_ms in ended {
            self.observe(duration_ms);
        }
    }

    /// Forgets the loads of the previous engine incarnation.
    pub fn on_engine_restart(&mut self) {
        self.started.clear();
    }

    /// Returns the number of adapters that the engine may load at the same time.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    fn observe(&mut self, duration_ms: f64) {
        let reference_ms = self.reference_ms.unwrap_or(duration_ms);
        if duration_ms < reference_ms * Self::LOCAL_COPY {
            self.short_loads += 1;
            if self.short_loads < Self::SHORT_LOADS_MAX {
                return;
            }
        }
        self.short_loads = 0;
        self.reference_ms = Some(if duration_ms < reference_ms {
            duration_ms
        } else {
            reference_ms + (duration_ms - reference_ms) * Self::REFERENCE_WEIGHT
        });
        self.limit = if duration_ms > reference_ms * Self::CONTENTION {
            self.limit * Self::DECREASE
        } else {
            self.limit + Self::INCREASE
        };
        self.limit = self.limit.clamp(1.0, Self::LIMIT_MAX);
    }
}

impl Default for LoadConcurrency {
    /// Starts with one load at a time, since all engines may be empty.
    fn default() -> Self {
        Self { limit: 1.0, reference_ms: None, short_loads: 0, started: BTreeMap::new() }
    }
}
