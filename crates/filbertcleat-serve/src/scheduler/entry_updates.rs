//! The latest updates of entries to an agent.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use filbertcleat_base::MonoTime;

use crate::AdapterDemand;
use crate::AdapterKey;
use crate::EntryUpdate;
use crate::ModelDemand;

/// The latest update of each entry.
#[derive(Debug, Default)]
pub(crate) struct EntryUpdates {
    latest: BTreeMap<u64, ReceivedUpdate>,
}

#[derive(Debug)]
struct ReceivedUpdate {
    received_at: MonoTime,
    update: EntryUpdate,
}

impl EntryUpdates {
    /// An entry that sends no update for this long has ended or is cut off; six of its updates were
    /// due in this time.
    const LIVE_MS: u64 = 3_000;
    /// Adapter demand expires earlier, because requests wait at most one or two seconds.
    const DEMAND_LIVE_MS: u64 = 1_200;

    /// Returns whether an update is later than the known one of the same entry.
    pub fn is_new(&self, update: &EntryUpdate) -> bool {
        let known = self.latest.get(&update.entry);
        update.sequence > known.map_or(0, |received| received.update.sequence)
    }

    /// Replaces the latest update of an entry.
    pub fn insert(&mut self, now: MonoTime, update: EntryUpdate) {
        self.latest.insert(update.entry, ReceivedUpdate { received_at: now, update });
    }

    /// Discards the updates of entries that are no longer live.
    pub fn retain(&mut self, now: MonoTime) {
        self.latest.retain(|_, received| now.ms_since(received.received_at) <= Self::LIVE_MS);
    }

    /// Returns whether an update of an entry is known.
    pub fn contains(&self, entry: u64) -> bool {
        self.latest.contains_key(&entry)
    }

    /// Returns the number of live entries.
    pub fn live(&self, now: MonoTime) -> usize {
        self.within(now, Self::LIVE_MS).count()
    }

    /// Returns the adapters on which requests run at the engine.
    pub fn adapters_in_use(&self, now: MonoTime) -> BTreeSet<&AdapterKey> {
        let live = self.within(now, Self::LIVE_MS);
        live.flat_map(|update| update.adapters_in_use.iter().map(|(key, _)| key)).collect()
    }

    /// Returns the demand for base models, summed over live entries.
    pub fn model_demand(&self, now: MonoTime) -> Vec<ModelDemand> {
        let mut demand: Vec<ModelDemand> = Vec::new();
        for item in self.within(now, Self::LIVE_MS).flat_map(|update| &update.model_demand) {
            match demand.iter_mut().find(|known| known.model == item.model) {
                Some(known) => {
                    known.recent_requests =
                        known.recent_requests.saturating_add(item.recent_requests);
                    // An entry that has just started knows only some of the engines.
                    known.engines = known.engines.max(item.engines);
                }
                None => demand.push(item.clone()),
            }
        }
        demand
    }

    /// Returns the demand for adapters, summed over entries. Adapters with waiting requests come
    /// first, then the more urgent ones, then those with more waiting requests.
    pub fn adapter_demand(&self, now: MonoTime) -> Vec<AdapterDemand> {
        let mut sums: BTreeMap<&AdapterKey, AdapterDemand> = BTreeMap::new();
        let live = self.within(now, Self::DEMAND_LIVE_MS);
        for demand in live.flat_map(|update| &update.adapter_demand) {
            sums.entry(&demand.key)
                .and_modify(|sum| {
                    sum.waiting_requests =
                        sum.waiting_requests.saturating_add(demand.waiting_requests);
                    sum.min_version = sum.min_version.max(demand.min_version);
                    sum.priority = sum.priority.min(demand.priority);
                })
                .or_insert_with(|| demand.clone());
        }
        let mut sums: Vec<_> = sums.into_values().collect();
        sums.sort_by_key(|sum| {
            (sum.waiting_requests == 0, sum.priority, u32::MAX - sum.waiting_requests)
        });
        sums
    }

    fn within(&self, now: MonoTime, limit_ms: u64) -> impl Iterator<Item = &EntryUpdate> {
        let received = self.latest.values();
        let live = received.filter(move |received| now.ms_since(received.received_at) <= limit_ms);
        live.map(|received| &received.update)
    }
}
